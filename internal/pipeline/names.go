package pipeline

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Names of jobs are kept in one string, so that some hundred fit a record: those that end
// with a number by what stands before it, its number of digits, the first and the steps to
// the next in base 36, and the others as they are. In what a name may consist of there
// are none of the marks used here.
const (
	groupMark = ";"
	partMark  = ":"
	stepMark  = "."
	wholeMark = "~"
	radix     = 36
	// maxDigits bounds the digits of a number, which has to fit 64 bits, and maxSteps
	// the names that a string is read as.
	maxDigits = 18
	maxSteps  = 100_000
)

type numberedName struct {
	prefix string
	digits int
	value  uint64
}

// EncodeNames is a list of names as one string. Their order is not kept.
func EncodeNames(names []string) string {
	var ns []numberedName
	var groups []string
	for _, name := range names {
		if x, ok := parseNumbered(name); ok {
			ns = append(ns, x)
		} else {
			groups = append(groups, wholeMark+name)
		}
	}
	slices.Sort(groups)
	slices.SortFunc(ns, func(a, b numberedName) int {
		return cmp.Or(strings.Compare(a.prefix, b.prefix), cmp.Compare(a.digits, b.digits), cmp.Compare(a.value, b.value))
	})
	for i := 0; i < len(ns); {
		first := ns[i]
		text := first.prefix + partMark + strconv.Itoa(first.digits) + partMark + strconv.FormatUint(first.value, radix)
		for i++; i < len(ns) && ns[i].prefix == first.prefix && ns[i].digits == first.digits; i++ {
			text += stepMark + strconv.FormatUint(ns[i].value-ns[i-1].value, radix)
		}
		groups = append(groups, text)
	}
	return strings.Join(groups, groupMark)
}

func parseNumbered(name string) (numberedName, bool) {
	prefix := strings.TrimRight(name, "0123456789")
	digits := len(name) - len(prefix)
	if digits > maxDigits {
		prefix, digits = name[:len(name)-maxDigits], maxDigits
	}
	value, err := strconv.ParseUint(name[len(prefix):], 10, 64)
	return numberedName{prefix, digits, value}, err == nil
}

// DecodeNames is the list that a string stands for, sorted; ok is false if it stands for none.
func DecodeNames(s string) (names []string, ok bool) {
	if s == "" {
		return nil, true
	}
	for _, group := range strings.Split(s, groupMark) {
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
			by, err := strconv.ParseUint(step, radix, 62)
			text := strconv.FormatUint(value+by, 10)
			if err != nil || len(text) > digits {
				return nil, false
			}
			value += by
			names = append(names, parts[0]+strings.Repeat("0", digits-len(text))+text)
		}
	}
	slices.Sort(names)
	return names, true
}
