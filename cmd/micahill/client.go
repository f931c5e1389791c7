package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// requestOverflow sends a request about overflow to a controller; see requestJSON.
func requestOverflow(ctx context.Context, area, method, addr, path string, target any) error {
	return requestJSON(ctx, area, "overflow", method, addr, path, nil, target)
}

// requestJSON sends a request to a controller's internal address and decodes the JSON response
// into target. Errors begin with area. feature is the name, without .toml, of the file under
// deploy/ that enables the requested route.
func requestJSON(ctx context.Context, area, feature, method, addr, path string, payload []byte, target any) error {
	if addr == "" {
		return fmt.Errorf("%s: --addr HOST:PORT is missing; it is the controller's own address, \"back\" in its settings", area)
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(payload))
	if err != nil {
		return fmt.Errorf("%s: %w", area, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("%s: %w", area, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	switch {
	case err != nil:
		return fmt.Errorf("%s: %w", area, err)
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%s: %s: not enabled on this controller (--enable deploy/%s.toml)", area, addr, feature)
	case resp.StatusCode != http.StatusOK:
		var failure struct {
			Message string `json:"message"`
		}
		if json.Unmarshal(b, &failure) != nil || failure.Message == "" {
			failure.Message = resp.Status
		}
		return fmt.Errorf("%s: %s: %s", area, addr, strings.TrimPrefix(failure.Message, feature+": "))
	}
	if err := json.Unmarshal(b, target); err != nil {
		return fmt.Errorf("%s: %w", area, err)
	}
	return nil
}

// printJSON writes v as indented JSON.
func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
