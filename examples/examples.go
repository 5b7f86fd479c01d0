package examples

import (
	"embed"

	"github.com/chestnutroad/chestnutroad/internal/settings"
)

//go:embed warta/*.toml kaffivakt/*.toml
var files embed.FS

// Warta returns the base file and the overlay of site wielkopolska.
func Warta() []settings.File { return read("warta/base.toml", "warta/wielkopolska.toml") }

// Kaffivakt returns the base file and the overlay of site is-sudvestur.
func Kaffivakt() []settings.File { return read("kaffivakt/base.toml", "kaffivakt/is-sudvestur.toml") }

// read returns the embedded files with the names.
func read(names ...string) []settings.File {
	loaded := make([]settings.File, 0, len(names))
	for _, name := range names {
		text, err := files.ReadFile(name)
		if err != nil {
			panic(err) // the files are embedded at build time
		}
		loaded = append(loaded, settings.File{Name: name, Text: string(text)})
	}
	return loaded
}
