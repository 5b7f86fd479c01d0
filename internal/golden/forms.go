package golden

import "testing"

// Form is a value that is written as JSON, with the name of its file.
type Form struct {
	Name  string
	Value any
}

// Forms checks each form by JSON in a subtest.
func Forms(t *testing.T, forms []Form) {
	t.Helper()
	for _, fm := range forms {
		t.Run(fm.Name, func(t *testing.T) { JSON(t, fm.Name, fm.Value) })
	}
}
