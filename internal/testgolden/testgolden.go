// Package testgolden compares encoded values with golden files, so that renaming a type or a field
// can't change the bytes that are stored or sent. A test encodes values, compares the bytes with the
// files in testdata/golden, and decodes those files. Only tests import this package.
//
// After an intended change of an encoding, the following command rewrites the golden files of a
// package. Records that earlier versions stored must stay readable.
//
//	go test ./internal/record -run Golden -update
package testgolden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// update is the flag that makes CheckBytes rewrite the golden files.
var update = flag.Bool("update", false, "rewrite the golden files")

// lineBytes is the number of bytes that a line of a golden file encodes.
const lineBytes = 32

// Values has the values to encode, by the names of their golden files.
type Values map[string]any

// Codec encodes and decodes values.
type Codec struct {
	// Write encodes a value, and Read decodes one into a pointer.
	Write func(v any) ([]byte, error)
	Read  func(b []byte, into any) error
	// Strict means that Read rejects zero values, so Check does not check them.
	Strict bool
}

// Msgpack is the codec of the protocols with workers and the state service.
var Msgpack = Codec{Write: msgpack.Marshal, Read: msgpack.Unmarshal}

// Check checks for each value, and for the zero value of its type, that it is encoded as its golden
// bytes, that the golden bytes are decoded as the value, and that the decoded value is encoded as
// the golden bytes again.
func Check(t *testing.T, codec Codec, values Values) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		checkValue(t, codec, name, values[name])
		if !codec.Strict {
			checkValue(t, codec, name+".zero", reflect.Zero(reflect.TypeOf(values[name])).Interface())
		}
	}
}

// checkValue is Check for one value.
func checkValue(t *testing.T, codec Codec, name string, v any) {
	t.Helper()
	b, err := codec.Write(v)
	if err != nil {
		t.Errorf("%s: encode: got error %v, want none", name, err)
		return
	}
	CheckBytes(t, name, b)
	golden := Bytes(t, name)
	into := reflect.New(reflect.TypeOf(v))
	if err := codec.Read(golden, into.Interface()); err != nil {
		t.Errorf("%s: decode golden bytes: got error %v, want none", name, err)
		return
	}
	read := into.Elem().Interface()
	if !reflect.DeepEqual(read, v) {
		t.Errorf("%s: decoded: got\n%+v\nwant\n%+v", name, read, v)
	}
	again, err := codec.Write(read)
	if err != nil {
		t.Errorf("%s: encode decoded value: got error %v, want none", name, err)
		return
	}
	CheckUnchanged(t, name, again)
}

// goldenPath returns the path of the golden file with a name.
func goldenPath(name string) string { return filepath.Join("testdata", "golden", name+".hex") }

// CheckBytes checks that b equals the golden bytes of a name. With -update it first rewrites the golden
// file.
func CheckBytes(t *testing.T, name string, b []byte) {
	t.Helper()
	if *update {
		var text strings.Builder
		for line := range slices.Chunk(b, lineBytes) {
			text.WriteString(hex.EncodeToString(line) + "\n")
		}
		if err := os.MkdirAll(filepath.Dir(goldenPath(name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenPath(name), []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	CheckUnchanged(t, name, b)
}

// CheckUnchanged checks that b equals the golden bytes of a name and never rewrites the golden file. It is
// meant for values that were decoded from the golden bytes and encoded again.
func CheckUnchanged(t *testing.T, name string, b []byte) {
	t.Helper()
	if golden := Bytes(t, name); !bytes.Equal(b, golden) {
		t.Errorf("%s: encoded: got\n%x\nwant\n%x", name, b, golden)
	}
}

// Bytes returns the golden bytes of a name.
func Bytes(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatalf("%s: decode hex text of golden file: got error %v, want none", name, err)
	}
	return b
}

// CheckCoverage checks that the values cover all encoded types and fields. It fails for a field that no
// value sets, for two fields of the same type that are equal in a value, since confusing them would
// not be noticed, and for a type of the package with MessagePack tags of which there is no value.
func CheckCoverage(t *testing.T, values Values) {
	t.Helper()
	w := fieldWalker{t, map[reflect.Type][]bool{}}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		w.walk(name, reflect.ValueOf(values[name]))
	}
	known := map[string]bool{}
	for typ, set := range w.set {
		known[path.Base(typ.PkgPath())+"."+typ.Name()] = true
		for i, is := range set {
			if !is && typ.Field(i).IsExported() {
				t.Errorf("%s: got no value that sets %s, want one", typ, typ.Field(i).Name)
			}
		}
	}
	for _, name := range taggedTypes(t) {
		if !known[name] {
			t.Errorf("got no value of %s, want one", name)
		}
	}
}

// fieldWalker records which fields the values set. set is indexed by struct type and field index.
type fieldWalker struct {
	t   *testing.T
	set map[reflect.Type][]bool
}

// walk records the fields that v and the values in it set. at is the path of v for failure
// messages.
func (w *fieldWalker) walk(at string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			w.walk(at, v.Elem())
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			w.walk(at, v.Index(i))
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			w.walk(at, v.MapIndex(k))
		}
	case reflect.Struct:
		w.fields(at, v)
	}
}

// fields records the fields that the struct v sets, and fails for equal values in fields of the
// same type.
func (w *fieldWalker) fields(at string, v reflect.Value) {
	w.t.Helper()
	typ := v.Type()
	if typ == reflect.TypeFor[time.Time]() {
		return
	}
	if w.set[typ] == nil {
		w.set[typ] = make([]bool, typ.NumField())
	}
	for i := range typ.NumField() {
		if !typ.Field(i).IsExported() || isUnset(v.Field(i)) {
			continue
		}
		w.set[typ][i] = true
		here := at + "." + typ.Field(i).Name
		for k := range i {
			if a, b := v.Field(k), v.Field(i); a.Type() == b.Type() && !hasFewValues(a.Type()) && typ.Field(k).IsExported() && reflect.DeepEqual(a.Interface(), b.Interface()) {
				w.t.Errorf("%s: got the value of %s, want a distinct one", here, typ.Field(k).Name)
			}
		}
		w.walk(here, v.Field(i))
	}
}

// hasFewValues reports whether a type has too few values for each field to have a distinct one.
func hasFewValues(t reflect.Type) bool {
	return t.Kind() == reflect.Bool || t.Kind() == reflect.Pointer && t.Elem().Kind() == reflect.Bool
}

// isUnset reports whether a field counts as not set: a zero value, or a slice or map without
// elements.
func isUnset(v reflect.Value) bool {
	if v.Kind() == reflect.Slice || v.Kind() == reflect.Map {
		return v.Len() == 0
	}
	return v.IsZero()
}

// taggedTypes returns the names of the types with MessagePack tags in the package under test, as
// package.Type.
func taggedTypes(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if s, ok := spec.Type.(*ast.StructType); ok && slices.ContainsFunc(s.Fields.List, func(f *ast.Field) bool { return f.Tag != nil && strings.Contains(f.Tag.Value, "msgpack:") }) {
				out = append(out, f.Name.Name+"."+spec.Name.Name)
			}
			return true
		})
	}
	return out
}

// CheckProtoCoverage checks that every field of the messages of a protobuf file is set in at least one of
// ms.
func CheckProtoCoverage(t *testing.T, file protoreflect.FileDescriptor, ms ...proto.Message) {
	t.Helper()
	set := map[protoreflect.FullName]bool{}
	for _, m := range ms {
		setFields(m.ProtoReflect(), set)
	}
	for i := range file.Messages().Len() {
		fields := file.Messages().Get(i).Fields()
		for k := range fields.Len() {
			if name := fields.Get(k).FullName(); !set[name] {
				t.Errorf("got no message that sets %s, want one", name)
			}
		}
	}
}

// setFields adds the full names of the fields that a message and its submessages set.
func setFields(message protoreflect.Message, set map[protoreflect.FullName]bool) {
	message.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		set[f.FullName()] = true
		switch {
		case f.Message() == nil || f.IsMap():
		case f.IsList():
			for i := range v.List().Len() {
				setFields(v.List().Get(i).Message(), set)
			}
		default:
			setFields(v.Message(), set)
		}
		return true
	})
}
