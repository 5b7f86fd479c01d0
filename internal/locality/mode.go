package locality

// Mode is the setting RemoteTraffic.
type Mode string

// The modes of RemoteTraffic.
const (
	// Auto enables the package in an installation where engines fetch the KV cache, since moving parts is cheap there.
	Auto Mode = "Auto"
	On   Mode = "On"
	Off  Mode = "Off"
)

// Modes returns all modes, the default first.
func Modes() []Mode { return []Mode{Off, Auto, On} }

// Enabled reports whether requests are divided by this package; fetching states whether any service of the installation fetches the KV
// cache. The empty mode and unknown ones are Off.
func (md Mode) Enabled(fetching bool) bool {
	switch md {
	case On:
		return true
	case Auto:
		return fetching
	default:
		return false
	}
}

// Valid reports whether the mode is known or empty.
func (md Mode) Valid() bool { return md == "" || md == Auto || md == On || md == Off }
