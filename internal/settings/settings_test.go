package settings_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad/internal/settings"
)

var update = flag.Bool("update", false, "overwrite the expected output of the cases")

// readCase returns the files of a test case, the base file first. Their names have no directory.
func readCase(tb testing.TB, directory string) []settings.File {
	tb.Helper()
	paths, err := filepath.Glob(filepath.Join(directory, "*.toml"))
	if err != nil || len(paths) == 0 {
		tb.Fatalf("no settings files in %s", directory)
	}
	files := make([]settings.File, 0, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			tb.Fatal(err)
		}
		files = append(files, settings.File{Name: filepath.Base(path), Text: string(text)})
	}
	return files
}

// render returns the error text, or the values that a file sets for each site.
func render(st *settings.Settings, err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	var text strings.Builder
	for _, site := range st.Sites() {
		ef, _ := st.Effective(site)
		fmt.Fprintf(&text, "[%s]\n", site)
		writeExplicit(&text, ef.Values)
	}
	return text.String()
}

// writeExplicit writes the values that are not defaults.
func writeExplicit(text *strings.Builder, values []settings.Value) {
	for _, value := range values {
		if value.File != "" {
			fmt.Fprintf(text, "%s = %s (%s:%d)\n", value.Key, value.Value, value.File, value.Line)
		}
	}
}

// compareFile compares the text with a file of expected output, and overwrites the file first if the update flag is set.
func compareFile(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

// TestCases guards against errors in settings that are not reported, are reported one at a time or with a wrong position, and
// against overlays that change another site.
func TestCases(t *testing.T) {
	t.Parallel()
	directories, err := filepath.Glob("testdata/cases/*")
	if err != nil || len(directories) == 0 {
		t.Fatal("no cases")
	}
	for _, directory := range directories {
		t.Run(filepath.Base(directory), func(t *testing.T) {
			t.Parallel()
			st, err := settings.Parse(readCase(t, directory)...)
			if err != nil && st != nil {
				t.Error("settings were returned together with an error")
			}
			compareFile(t, filepath.Join(directory, "expected"), render(st, err))
		})
	}
}

// TestHostCases guards against process settings that pass the checks and then fail in the running process.
func TestHostCases(t *testing.T) {
	t.Parallel()
	paths, err := filepath.Glob("testdata/hosts/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatal("no cases")
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			ht, err := settings.LoadHost(path)
			got := ""
			if err != nil {
				got = err.Error() + "\n"
			} else {
				var text strings.Builder
				writeExplicit(&text, ht.Values)
				got = text.String()
			}
			got = strings.ReplaceAll(got, "testdata/hosts/", "")
			compareFile(t, strings.TrimSuffix(path, ".toml")+".expected", got)
		})
	}
}

// TestExamples guards against examples that the parser rejects or whose counts differ from those in the design document.
func TestExamples(t *testing.T) {
	t.Parallel()
	cases := []struct {
		Directory, Site                       string
		DataCentres, Teams, Engines, Services int
	}{
		{"../../examples/warta", "wielkopolska", 3, 10, 10, 3},
		{"../../examples/kaffivakt", "is-sudvestur", 4, 10, 12, 4},
	}
	for _, cs := range cases {
		t.Run(cs.Site, func(t *testing.T) {
			t.Parallel()
			st, err := settings.Load(filepath.Join(cs.Directory, "base.toml"), filepath.Join(cs.Directory, cs.Site+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			ht, err := settings.LoadHost(filepath.Join(cs.Directory, "host.toml"))
			if err != nil {
				t.Fatal(err)
			}
			if err := ht.Check(st); err != nil {
				t.Error(err)
			}
			ef, found := st.Effective(ht.Site)
			if !found || string(ef.Site.ID) != cs.Site {
				t.Fatalf("site %q, want %q", ef.Site.ID, cs.Site)
			}
			engines, plain := 0, 0
			for _, sv := range ef.Services {
				if sv.Kind == settings.KindEngine {
					engines += sv.ExpectedTargets
				} else {
					plain += sv.ExpectedTargets
				}
			}
			got := []int{len(ef.Site.DataCentres), len(ef.Teams), engines, plain}
			want := []int{cs.DataCentres, cs.Teams, cs.Engines, cs.Services}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("data centres, teams, engine targets, plain targets: got %v, want %v", got, want)
			}
		})
	}
}

// TestDiff guards against a difference that is missing because the value is a default or from another file on one side.
func TestDiff(t *testing.T) {
	t.Parallel()
	files := readCase(t, "testdata/cases/overlay")
	before, err := settings.Parse(files...)
	if err != nil {
		t.Fatal(err)
	}
	body, err := settings.MarshalBody(files[:1])
	if err != nil {
		t.Fatal(err)
	}
	after, err := settings.ParseBody(body)
	if err != nil {
		t.Fatal(err)
	}
	if changes := settings.Diff(before, before); len(changes) != 0 {
		t.Errorf("diff of equal settings is not empty: %v", changes)
	}
	var got strings.Builder
	for _, change := range settings.Diff(before, after) {
		fmt.Fprintf(&got, "%s %s: %q -> %q\n", change.Site, change.Key, change.Before, change.After)
	}
	compareFile(t, "testdata/diff.expected", got.String())
}

// TestToken guards against a bearer token that is not found by its hash, and against an empty token that matches a team.
func TestToken(t *testing.T) {
	t.Parallel()
	st, err := settings.Parse(readCase(t, "testdata/cases/overlay")...)
	if err != nil {
		t.Fatal(err)
	}
	ef, _ := st.Effective("north")
	if tm, found := ef.TeamByToken("sales-token"); !found || tm.ID != "sales" {
		t.Errorf("got team %q, want sales", tm.ID)
	}
	if tm, found := ef.TeamByToken(""); found {
		t.Errorf("the empty token matches team %s", tm.ID)
	}
}

// FuzzParse guards against text for which the parser panics, or returns neither settings nor errors with a position.
func FuzzParse(f *testing.F) {
	directories, _ := filepath.Glob("testdata/cases/*")
	for _, directory := range directories {
		files := readCase(f, directory)
		f.Add(files[0].Text, files[len(files)-1].Text)
	}
	f.Fuzz(func(t *testing.T, base, overlay string) {
		files := []settings.File{{Name: "base.toml", Text: base}, {Name: "site.toml", Text: overlay}}
		st, err := settings.Parse(files...)
		if (st == nil) == (err == nil) {
			t.Fatalf("got settings %v and error %v, want exactly one of them", st, err)
		}
		var settingsErrs settings.Errors
		if err != nil && !errors.As(err, &settingsErrs) {
			t.Fatalf("error without a position: %v", err)
		}
		for _, settingsErr := range settingsErrs {
			if settingsErr.File == "" || settingsErr.Line < 1 || settingsErr.Message == "" {
				t.Fatalf("incomplete error: %+v", settingsErr)
			}
		}
	})
}

// TestReference guards against a key or default that is missing or wrong in the reference in examples/README.md.
func TestReference(t *testing.T) {
	t.Parallel()
	reference, err := os.ReadFile("../../examples/README.md")
	if err != nil {
		t.Fatal(err)
	}
	st, err := settings.Parse(readCase(t, "testdata/cases/overlay")...)
	if err != nil {
		t.Fatal(err)
	}
	ef, _ := st.Effective("south")
	for _, value := range ef.Values {
		key := value.Key[strings.LastIndex(value.Key, ".")+1:]
		row := "| `" + key + "` | "
		if value.File == "" && key != "LoadFloor" && key != "Deadline" && key != "Repeat" {
			row += value.Value + " | "
		}
		if !strings.Contains(string(reference), row) {
			t.Errorf("%s: no row starts with %q", value.Key, row)
		}
	}
}
