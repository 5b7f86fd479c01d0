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

var update = flag.Bool("update", false, "write the expected output of the cases anew")

// readCase returns the files of one case, named without their directory, the base first.
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

// render renders the errors, or the values that some file states.
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

func writeExplicit(text *strings.Builder, values []settings.Value) {
	for _, value := range values {
		if value.File != "" {
			fmt.Fprintf(text, "%s = %s (%s:%d)\n", value.Key, value.Value, value.File, value.Line)
		}
	}
}

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

// TestCases guards against faults that are not reported, are reported one at a time or at the wrong place, and against
// overlays that change another site.
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
				t.Error("faulty settings were returned")
			}
			compareFile(t, filepath.Join(directory, "expected"), render(st, err))
		})
	}
}

// TestHostCases guards against process settings that would fail only once the process runs.
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

// TestExamples guards against examples that the parser no longer accepts or that left the counts of the design page.
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
			ef, known := st.Effective(ht.Site)
			if !known || string(ef.Site.ID) != cs.Site {
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
				t.Errorf("data centres, teams, engines, plain targets are %v, want %v", got, want)
			}
		})
	}
}

// TestDiff guards against a difference that is lost because one side takes the value from its default or another file.
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
	if same := settings.Diff(before, before); len(same) != 0 {
		t.Errorf("settings differ from themselves: %v", same)
	}
	var got strings.Builder
	for _, change := range settings.Diff(before, after) {
		fmt.Fprintf(&got, "%s %s: %q -> %q\n", change.Site, change.Key, change.Before, change.After)
	}
	compareFile(t, "testdata/diff.expected", got.String())
}

// TestToken guards against a bearer token that is not found under its own hash, or is found under another one.
func TestToken(t *testing.T) {
	t.Parallel()
	st, err := settings.Parse(readCase(t, "testdata/cases/overlay")...)
	if err != nil {
		t.Fatal(err)
	}
	ef, _ := st.Effective("north")
	if tm, known := ef.TeamByToken("sales-token"); !known || tm.ID != "sales" {
		t.Errorf("team %q, want sales", tm.ID)
	}
	if tm, known := ef.TeamByToken(""); known {
		t.Errorf("an empty token belongs to %s", tm.ID)
	}
}

// FuzzParse guards against text that makes the parser panic or return neither settings nor errors with a place.
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
			t.Fatalf("settings %v, error %v", st, err)
		}
		var faults settings.Errors
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("error without a place: %v", err)
		}
		for _, fault := range faults {
			if fault.File == "" || fault.Line < 1 || fault.Message == "" {
				t.Fatalf("incomplete fault: %+v", fault)
			}
		}
	})
}

// TestReference guards against a key or default that the reference in examples/README.md lacks or states wrongly.
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
