package configcheck

// Names returns the names of all checks in the table.
func Names() []string {
	names := make([]string, 0, len(checkTable))
	for _, ck := range checkTable {
		names = append(names, ck.Name)
	}
	return names
}
