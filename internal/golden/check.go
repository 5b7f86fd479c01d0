package golden

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// JSON fills the value, a pointer, and checks that its JSON text is that of the file testdata/golden/NAME.json, letter for
// letter, and that the text is read back as the same value.
func JSON(t *testing.T, name string, value any) {
	t.Helper()
	Fill(t, value)
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	text := Text(t, name+".json", string(data)+"\n")
	read := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	if err := json.Unmarshal([]byte(text), read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, value) {
		t.Errorf("read %+v, want %+v", read, value)
	}
}

// Text checks that the text is that of the file testdata/golden/NAME and returns the file's text.
func Text(t *testing.T, name, text string) string {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatalf("%v; the text is:\n%s", err, text)
	}
	if text != string(want) {
		t.Errorf("written:\n%s\nwant:\n%s", text, want)
	}
	return string(want)
}
