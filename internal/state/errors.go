package state

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/micahill/micahill/internal/message"
)

// What a request to the state service can fail with. Any other error means that the
// request may have been executed, or may yet be.
var (
	// ErrNotFound: the key or the lease does not exist.
	ErrNotFound = errors.New("state: not found")
	// ErrConflict: a transaction's compares do not hold. The response has the failed keys.
	ErrConflict = errors.New("state: compares failed")
	// ErrCompacted: the service no longer keeps the changes since the revision that a
	// watch starts from.
	ErrCompacted = errors.New("state: revision compacted")
	// ErrNoLease: a put is attached to a lease that has expired.
	ErrNoLease = errors.New("state: no such lease")
	// ErrMalformed: the service rejects the request as malformed.
	ErrMalformed = errors.New("state: malformed request")
	// ErrNotExecuted: the request was not sent, or the service refused to execute it.
	ErrNotExecuted = errors.New("state: not executed")
)

// errRateLimited is a 429: not executed, to be retried.
var errRateLimited = errors.New("state: rate limit exceeded")

// unexpectedStatusError is an HTTP status that the protocol does not name. It leaves open
// whether a transaction was executed.
type unexpectedStatusError struct{ code int }

func (e *unexpectedStatusError) Error() string {
	return fmt.Sprintf("state: unexpected status %d", e.code)
}

// errorOf is the error that an HTTP status and the text in the body stand for.
func errorOf(code int, text string) error {
	switch code {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrCompacted
	case http.StatusBadRequest:
		if strings.Contains(text, "lease") {
			return ErrNoLease
		}
		return ErrMalformed
	case http.StatusTooManyRequests:
		return errRateLimited
	case http.StatusServiceUnavailable:
		return ErrNotExecuted
	}
	return &unexpectedStatusError{code}
}

// transportError wraps an error of the HTTP client. A failed dial is ErrNotExecuted: without
// a connection nothing was sent.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	return fmt.Errorf("state: %w", err)
}

// statusOf is the outcome, for the controller's state machine, of a request that ended with err.
func statusOf(kind message.StoreRequestKind, err error) message.StoreStatus {
	var unexpected *unexpectedStatusError
	switch {
	case err == nil:
		return message.StoreOK
	case errors.Is(err, ErrNotFound):
		return message.StoreNotFound
	case errors.Is(err, ErrConflict):
		return message.StoreConflict
	case errors.Is(err, ErrCompacted):
		return message.StoreCompacted
	case errors.Is(err, ErrNoLease):
		return message.StoreNoLease
	case errors.Is(err, ErrMalformed):
		return message.StoreMalformed
	case errors.Is(err, ErrNotExecuted), errors.As(err, &unexpected) && kind != message.OpTxn:
		return message.StoreRefused
	}
	return message.StoreUnknown
}
