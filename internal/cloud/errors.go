package cloud

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// What a request to the cloud can fail with. Any other error means that the request may have
// been executed, or may yet be.
var (
	// ErrNoCapacity: the cloud has no machine of this type, zone and kind to rent.
	ErrNoCapacity = errors.New("cloud: no capacity")
	// ErrMalformed: the cloud rejects the request as malformed.
	ErrMalformed = errors.New("cloud: malformed request")
	// ErrNotExecuted: the request was not sent, or the cloud refused to execute it.
	ErrNotExecuted = errors.New("cloud: not executed")
)

// errorOf is the error that an HTTP status and a body stand for. The cloud executes nothing with
// a status other than 200.
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

// statusOf is the outcome, for the controller's state machine, of a request that ended with err.
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
