package settings_test

import (
	"strings"
	"testing"

	"github.com/chestnutroad/chestnutroad/internal/locality"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// TestRemoteTraffic guards against another default than Off, and against an unknown mode that is not reported.
func TestRemoteTraffic(t *testing.T) {
	t.Parallel()
	cases := []struct {
		line string
		want locality.Mode
		fail bool
	}{
		{"", locality.Off, false},
		{"RemoteTraffic = \"Auto\"\n", locality.Auto, false},
		{"RemoteTraffic = \"On\"\n", locality.On, false},
		{"RemoteTraffic = \"Off\"\n", locality.Off, false},
		{"RemoteTraffic = \"Often\"\n", "", true},
		{"RemoteTraffic = 1\n", "", true},
	}
	for _, tc := range cases {
		en, err := settings.ParseEntry(settings.File{Name: "entry.toml", Text: minimalEntry + tc.line})
		if tc.fail != (err != nil) || tc.fail && !strings.Contains(err.Error(), "Entry.RemoteTraffic") {
			t.Errorf("%q: error %v", tc.line, err)
		}
		if err == nil && en.RemoteTraffic != tc.want {
			t.Errorf("%q: the mode is %q, want %q", tc.line, en.RemoteTraffic, tc.want)
		}
	}
}
