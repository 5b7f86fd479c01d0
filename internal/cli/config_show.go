package cli

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
)

// ConfigShow prints the effective settings of a site.
type ConfigShow struct {
	Site   string   `arg:"--site,required" placeholder:"SITE" help:"site to show"`
	Stated bool     `arg:"--stated" help:"leave out the defaults"`
	JSON   bool     `arg:"--json" help:"print JSON"`
	Files  []string `arg:"positional,required" placeholder:"FILE" help:"base file, then overlays"`
}

// Run prints each effective value with the file and line that set it.
func (cm *ConfigShow) Run(_ context.Context, env *Environment) error {
	st, err := loadSettings(cm.Files)
	if err != nil {
		return err
	}
	ef, found := st.Effective(chestnutroad.SiteID(cm.Site))
	if !found {
		return Exit(CodeUsage, errors.Newf("no site is named %q; the sites are %v", cm.Site, st.Sites()))
	}
	values := cm.filterValues(ef.Values)
	if cm.JSON {
		return writeJSON(env.Out, values)
	}
	rows := [][]string{{"KEY", "VALUE", "FROM"}}
	for _, value := range values {
		rows = append(rows, []string{value.Key, value.Value, origin(value)})
	}
	return writeTable(env.Out, rows)
}

// filterValues removes the defaults with --stated.
func (cm *ConfigShow) filterValues(effective []settings.Value) []settings.Value {
	values := []settings.Value{}
	for _, value := range effective {
		if value.File != "" || !cm.Stated {
			values = append(values, value)
		}
	}
	return values
}

func origin(value settings.Value) string {
	if value.File == "" {
		return "default"
	}
	return fmt.Sprintf("%s:%d", value.File, value.Line)
}
