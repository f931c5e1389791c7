// Package testgolden pins the bytes of what is stored and sent, so that renaming a type or a field
// can't change them: a test encodes values, compares them with the files in testdata/golden, and
// decodes those files. Only tests import it. After an intended change of an encoding
//
//	go test ./internal/record -run Golden -update
//
// rewrites the files of a package; what earlier versions have stored must stay readable.
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

var update = flag.Bool("update", false, "rewrite the golden files")

// lineBytes is how many bytes a line of a golden file has.
const lineBytes = 32

// Values are the values to encode, by the names of their golden files.
type Values map[string]any

// Codec is an encoding.
type Codec struct {
	// Write encodes a value, and Read decodes one into a pointer.
	Write func(v any) ([]byte, error)
	Read  func(b []byte, into any) error
	// Strict says that Read rejects zero values, so that Check leaves them out.
	Strict bool
}

// Msgpack is the encoding of the protocols with workers and the state service.
var Msgpack = Codec{Write: msgpack.Marshal, Read: msgpack.Unmarshal}

// Check tests that each value, and the zero value of its type, is encoded as its golden bytes,
// decoded from them, and encoded again as they are.
func Check(t *testing.T, c Codec, vs Values) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(vs)) {
		check(t, c, name, vs[name])
		if !c.Strict {
			check(t, c, name+".zero", reflect.Zero(reflect.TypeOf(vs[name])).Interface())
		}
	}
}

func check(t *testing.T, c Codec, name string, v any) {
	t.Helper()
	b, err := c.Write(v)
	if err != nil {
		t.Errorf("%s: %v", name, err)
		return
	}
	Same(t, name, b)
	golden := Bytes(t, name)
	into := reflect.New(reflect.TypeOf(v))
	if err := c.Read(golden, into.Interface()); err != nil {
		t.Errorf("%s: decode golden bytes: got error %v, want none", name, err)
		return
	}
	read := into.Elem().Interface()
	if !reflect.DeepEqual(read, v) {
		t.Errorf("%s: decoded: got\n%+v\nwant\n%+v", name, read, v)
	}
	again, err := c.Write(read)
	if err != nil {
		t.Errorf("%s: encode decoded value: got error %v, want none", name, err)
		return
	}
	Still(t, name, again)
}

func file(name string) string { return filepath.Join("testdata", "golden", name+".hex") }

// Same compares bytes with the golden ones, which it rewrites before with -update.
func Same(t *testing.T, name string, b []byte) {
	t.Helper()
	if *update {
		var text strings.Builder
		for line := range slices.Chunk(b, lineBytes) {
			text.WriteString(hex.EncodeToString(line) + "\n")
		}
		if err := os.MkdirAll(filepath.Dir(file(name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file(name), []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	Still(t, name, b)
}

// Still compares bytes with the golden ones and never rewrites those: for what was decoded from
// them and encoded again.
func Still(t *testing.T, name string, b []byte) {
	t.Helper()
	if golden := Bytes(t, name); !bytes.Equal(b, golden) {
		t.Errorf("%s: encoded: got\n%x\nwant\n%x", name, b, golden)
	}
}

// Bytes are the golden bytes of a name.
func Bytes(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(file(name))
	if err != nil {
		t.Fatal(err)
	}
	b, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return b
}

// Full tests that the values leave nothing unpinned. It fails for a field that none of them sets,
// for two fields of one type that are equal in a value, as one could be taken for the other,
// and for a type of the package with MessagePack tags of which there is no value.
func Full(t *testing.T, vs Values) {
	t.Helper()
	w := walker{t, map[reflect.Type][]bool{}}
	for _, name := range slices.Sorted(maps.Keys(vs)) {
		w.walk(name, reflect.ValueOf(vs[name]))
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
	for _, name := range tagged(t) {
		if !known[name] {
			t.Errorf("got no value of %s, want one", name)
		}
	}
}

// walker notes which fields the values set, by type and index.
type walker struct {
	t   *testing.T
	set map[reflect.Type][]bool
}

func (w *walker) walk(at string, v reflect.Value) {
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

func (w *walker) fields(at string, v reflect.Value) {
	w.t.Helper()
	typ := v.Type()
	if typ == reflect.TypeFor[time.Time]() {
		return
	}
	if w.set[typ] == nil {
		w.set[typ] = make([]bool, typ.NumField())
	}
	for i := range typ.NumField() {
		if !typ.Field(i).IsExported() || empty(v.Field(i)) {
			continue
		}
		w.set[typ][i] = true
		here := at + "." + typ.Field(i).Name
		for k := range i {
			if a, b := v.Field(k), v.Field(i); a.Type() == b.Type() && !yesNo(a.Type()) && typ.Field(k).IsExported() && reflect.DeepEqual(a.Interface(), b.Interface()) {
				w.t.Errorf("%s: got the value of %s, want a distinct one", here, typ.Field(k).Name)
			}
		}
		w.walk(here, v.Field(i))
	}
}

// yesNo are types with too few values for each field to have its own.
func yesNo(t reflect.Type) bool {
	return t.Kind() == reflect.Bool || t.Kind() == reflect.Pointer && t.Elem().Kind() == reflect.Bool
}

func empty(v reflect.Value) bool {
	if v.Kind() == reflect.Slice || v.Kind() == reflect.Map {
		return v.Len() == 0
	}
	return v.IsZero()
}

// tagged are the types of the package under test that have MessagePack tags.
func tagged(t *testing.T) []string {
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

// FullProto tests that every field of a protobuf file's messages is set in one of the messages.
func FullProto(t *testing.T, file protoreflect.FileDescriptor, ms ...proto.Message) {
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

func setFields(m protoreflect.Message, set map[protoreflect.FullName]bool) {
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
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
