package state

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/micahill/micahill/internal/message"
)

// The errors of requests to the state service. Any other error means that the request may have been
// executed or may still be executed.
var (
	// ErrNotFound means that the key or the lease does not exist.
	ErrNotFound = errors.New("state: not found")
	// ErrConflict means that a compare of a transaction does not hold. The response has the failed
	// keys.
	ErrConflict = errors.New("state: compares failed")
	// ErrCompacted means that the service has deleted changes after the revision from which a
	// watch starts.
	ErrCompacted = errors.New("state: revision compacted")
	// ErrNoLease means that a put is attached to an expired lease.
	ErrNoLease = errors.New("state: no such lease")
	// ErrMalformed means that the service rejects the request as malformed.
	ErrMalformed = errors.New("state: malformed request")
	// ErrNotExecuted means that the request was not sent or that the service refused to execute
	// it.
	ErrNotExecuted = errors.New("state: not executed")
)

// errRateLimited means that the service answered with HTTP status 429. The service did not execute
// the request, and the client retries.
var errRateLimited = errors.New("state: rate limit exceeded")

// unexpectedStatusError is an HTTP status that the protocol does not define. A transaction may or may
// not have been executed.
type unexpectedStatusError struct{ code int }

// Error returns a text with the status.
func (e *unexpectedStatusError) Error() string {
	return fmt.Sprintf("state: unexpected status %d", e.code)
}

// errorOf returns the error for an HTTP status and the error text in the response body.
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

// transportError wraps an error of the HTTP client. A failed dial becomes ErrNotExecuted, since
// nothing is sent without a connection.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	return fmt.Errorf("state: %w", err)
}

// statusOf converts the error of a request of the given kind to an outcome for the controller's state
// machine.
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
