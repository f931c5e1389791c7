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

// rankingFile is a ranking as an operator writes it. BoundS is the wait bound in seconds,
// and Part the reserved fraction.
type rankingFile struct {
	Class []struct {
		Name      string   `toml:"name"`
		Workloads []string `toml:"workloads"`
		Urgency   string   `toml:"urgency"`
		BoundS    float64  `toml:"bound_s"`
		Part      float64  `toml:"part"`
	} `toml:"class"`
}

// Parse reads the file of a ranking. Any error makes the whole file invalid. The error
// names line, column and field, and the valid values.
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
	var record Record
	for i, class := range file.Class {
		if !(class.BoundS >= 0 && class.BoundS <= maxWaitBound.Seconds()) {
			row, col := locate(text, i, "bound_s")
			return Record{}, fmt.Errorf("ranking: %d:%d: field class[%d].bound_s: %v: want 0 for the default, or %v to %v seconds", row, col, i, class.BoundS, minWaitBound.Seconds(), maxWaitBound.Seconds())
		}
		record.Classes = append(record.Classes, Class{class.Name, class.Workloads, class.Urgency, time.Duration(class.BoundS * float64(time.Second)), class.Part})
	}
	if problem := record.validate(); problem != nil {
		row, col := locate(text, problem.class, problem.field)
		return Record{}, fmt.Errorf("ranking: %d:%d: field class[%d].%s: %s", row, col, problem.class, problem.field, problem.reason)
	}
	return record, nil
}

// classHeader matches the header line of a class.
var classHeader = regexp.MustCompile(`^\s*\[\[\s*class\s*\]\]`)

// locate returns the line and column, counted from 1, of a field in a class. If the class
// does not have the field, they are those of the class's header.
func locate(text []byte, class int, field string) (row, col int) {
	named := regexp.MustCompile(`^\s*"?` + regexp.QuoteMeta(field) + `"?\s*=`)
	row, col = 1, 1
	current := -1
	for i, line := range strings.Split(string(text), "\n") {
		indent := 1 + len(line) - len(strings.TrimLeft(line, " \t"))
		if classHeader.MatchString(line) {
			if current++; current == class {
				row, col = i+1, indent
			}
		}
		if current == class && named.MatchString(line) {
			return i + 1, indent
		}
	}
	return row, col
}
