package cloud

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// The errors of a request that the cloud has not executed and will not execute. After any other
// error, the cloud may have executed the request, or may still execute it.
var (
	// ErrNoCapacity means that the cloud has no machine to rent of this type and zone, spot or
	// not.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrMalformed means that the cloud rejected the request as malformed.
	ErrMalformed = errors.New("cloud: malformed request")
	// ErrNotExecuted means that the request was not sent or that the cloud refused to execute it.
	ErrNotExecuted = errors.New("cloud: not executed")
)

// errorOf returns the error for a response's HTTP status and body, or nil for a 200. The cloud has
// not executed a request if the status is not 200.
func errorOf(code int, body []byte) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusBadRequest:
		return ErrMalformed
	case http.StatusServiceUnavailable:
		var text struct {
			Error string `msgpack:"error"`
		}
		if msgpack.Unmarshal(body, &text) == nil && text.Error == "no capacity" {
			return ErrNoCapacity
		}
	}
	return fmt.Errorf("%w: status %d", ErrNotExecuted, code)
}

// statusOf returns the outcome, for the controller's state machine, of a request that returned err.
func statusOf(err error) message.CloudStatus {
	switch {
	case err == nil:
		return message.CloudOK
	case errors.Is(err, ErrNoCapacity):
		return message.CloudNoCapacity
	case errors.Is(err, ErrMalformed):
		return message.CloudMalformed
	case errors.Is(err, ErrNotExecuted):
		return message.CloudRefused
	}
	return message.CloudUnknown
}
