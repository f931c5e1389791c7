package ranking

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// rankingFile is a ranking as an operator writes it.
type rankingFile struct {
	Class []struct {
		Name      string   `toml:"name"`
		Workloads []string `toml:"workloads"`
		Urgency   string   `toml:"urgency"`
		BoundS    float64  `toml:"bound_s"`
		Part      float64  `toml:"part"`
	} `toml:"class"`
}

// Parse reads a ranking's file, as a whole or not at all. An error names line, column and
// field, and the valid values.
func Parse(text []byte) (Record, error) {
	var file rankingFile
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&file); err != nil {
		var missing *toml.StrictMissingError
		if errors.As(err, &missing) && len(missing.Errors) > 0 {
			row, col := missing.Errors[0].Position()
			return Record{}, fmt.Errorf("ranking: %d:%d: unknown field %s: a [[class]] has name, workloads, urgency, bound_s and part", row, col, strings.Join(missing.Errors[0].Key(), "."))
		}
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, col := decodeErr.Position()
			return Record{}, fmt.Errorf("ranking: %d:%d: field %s: %s", row, col, strings.Join(decodeErr.Key(), "."), strings.TrimPrefix(decodeErr.Error(), "toml: "))
		}
		return Record{}, fmt.Errorf("ranking: %w", err)
	}
	var r Record
	for i, c := range file.Class {
		if !(c.BoundS >= 0 && c.BoundS <= maxWaitBound.Seconds()) {
			row, col := locate(text, i, "bound_s")
			return Record{}, fmt.Errorf("ranking: %d:%d: field class[%d].bound_s: %v: want 0 for the default, or %v to %v seconds", row, col, i, c.BoundS, minWaitBound.Seconds(), maxWaitBound.Seconds())
		}
		r.Classes = append(r.Classes, Class{c.Name, c.Workloads, c.Urgency, time.Duration(c.BoundS * float64(time.Second)), c.Part})
	}
	if problem := r.validate(); problem != nil {
		row, col := locate(text, problem.class, problem.field)
		return Record{}, fmt.Errorf("ranking: %d:%d: field class[%d].%s: %s", row, col, problem.class, problem.field, problem.reason)
	}
	return r, nil
}

var classHeader = regexp.MustCompile(`^\s*\[\[\s*class\s*\]\]`)

// locate returns the line and column of a class's field, from 1. For a field that is not
// there it returns those of the class's header.
func locate(text []byte, class int, field string) (row, col int) {
	named := regexp.MustCompile(`^\s*"?` + regexp.QuoteMeta(field) + `"?\s*=`)
	row, col = 1, 1
	at := -1
	for i, line := range strings.Split(string(text), "\n") {
		indent := 1 + len(line) - len(strings.TrimLeft(line, " \t"))
		if classHeader.MatchString(line) {
			if at++; at == class {
				row, col = i+1, indent
			}
		}
		if at == class && named.MatchString(line) {
			return i + 1, indent
		}
	}
	return row, col
}
