package pipeline

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Names of jobs are encoded as one string, so that hundreds of them fit into a record. Names
// that end in a number are grouped by their prefix and number of digits. A group is written as
// the prefix, the number of digits, and then, in base 36, the first number and the differences
// between successive numbers. Other names are written unchanged after wholeMark. No name may
// contain a mark.
const (
	groupMark = ";"
	partMark  = ":"
	stepMark  = "."
	wholeMark = "~"
	radix     = 36
	// maxDigits bounds the digits of a number, which has to fit into 64 bits. maxSteps bounds
	// the names of one group.
	maxDigits = 18
	maxSteps  = 100_000
)

// numberedName is a name that ends in a number: its prefix, the number of digits and the
// number's value.
type numberedName struct {
	prefix string
	digits int
	value  uint64
}

// EncodeNames encodes a list of names as one string. The encoding does not keep their order.
func EncodeNames(names []string) string {
	var numbered []numberedName
	var groups []string
	for _, name := range names {
		if parsed, ok := parseNumbered(name); ok {
			numbered = append(numbered, parsed)
		} else {
			groups = append(groups, wholeMark+name)
		}
	}
	slices.Sort(groups)
	slices.SortFunc(numbered, func(a, b numberedName) int {
		return cmp.Or(strings.Compare(a.prefix, b.prefix), cmp.Compare(a.digits, b.digits), cmp.Compare(a.value, b.value))
	})
	for i := 0; i < len(numbered); {
		first := numbered[i]
		text := first.prefix + partMark + strconv.Itoa(first.digits) + partMark + strconv.FormatUint(first.value, radix)
		for i++; i < len(numbered) && numbered[i].prefix == first.prefix && numbered[i].digits == first.digits; i++ {
			text += stepMark + strconv.FormatUint(numbered[i].value-numbered[i-1].value, radix)
		}
		groups = append(groups, text)
	}
	return strings.Join(groups, groupMark)
}

// parseNumbered splits a name that ends in a number. It returns false for any other name.
func parseNumbered(name string) (numberedName, bool) {
	prefix := strings.TrimRight(name, "0123456789")
	digits := len(name) - len(prefix)
	if digits > maxDigits {
		prefix, digits = name[:len(name)-maxDigits], maxDigits
	}
	value, err := strconv.ParseUint(name[len(prefix):], 10, 64)
	return numberedName{prefix, digits, value}, err == nil
}

// DecodeNames returns the names that EncodeNames has encoded, sorted. ok is false for an invalid
// string.
func DecodeNames(encoded string) (names []string, ok bool) {
	if encoded == "" {
		return nil, true
	}
	for _, group := range strings.Split(encoded, groupMark) {
		if name, whole := strings.CutPrefix(group, wholeMark); whole {
			names = append(names, name)
			continue
		}
		parts := strings.Split(group, partMark)
		if len(parts) != 3 {
			return nil, false
		}
		digits, err := strconv.Atoi(parts[1])
		if err != nil || digits < 1 || digits > maxDigits || strings.Count(parts[2], stepMark) > maxSteps {
			return nil, false
		}
		value := uint64(0)
		for _, step := range strings.Split(parts[2], stepMark) {
			difference, err := strconv.ParseUint(step, radix, 62)
			text := strconv.FormatUint(value+difference, 10)
			if err != nil || len(text) > digits {
				return nil, false
			}
			value += difference
			names = append(names, parts[0]+strings.Repeat("0", digits-len(text))+text)
		}
	}
	slices.Sort(names)
	return names, true
}
