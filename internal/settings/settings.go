package settings

import (
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
)

// Settings holds the effective settings of all sites of a base file and its overlays.
type Settings struct {
	files []File
	sites []*Effective
}

// Effective holds the effective settings of one site: the base file merged with the overlay of the site.
type Effective struct {
	Site     Site
	Fleet    Fleet
	Teams    []Team
	Services []Service
	// Values lists the keys in order, each with its value and origin.
	Values []Value

	// teams, services and tokens hold indexes into Teams and Services.
	teams    map[chestnutroad.TeamID]int
	services map[chestnutroad.ServiceID]int
	tokens   map[TokenHash]int
}

// Load reads and parses a base file and overlays. Errors in the files are returned as Errors.
func Load(base string, overlays ...string) (*Settings, error) {
	files, err := readFiles(append([]string{base}, overlays...))
	if err != nil {
		return nil, err
	}
	return Parse(files...)
}

// readFiles reads the files and names each by its path as given.
func readFiles(paths []string) ([]File, error) {
	files := make([]File, 0, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(filepath.Clean(path))
		if err != nil {
			return nil, errors.Wrap(err, "the settings can't be read")
		}
		files = append(files, File{Name: path, Text: string(text)})
	}
	return files, nil
}

// Parse checks a base file and overlays and merges them for each site. Errors in the files are returned as Errors.
func Parse(files ...File) (*Settings, error) {
	if len(files) == 0 {
		return nil, errors.New("no settings file given")
	}
	rp := newReport(files)
	roots := make([]*table, 0, len(files))
	readable := true
	for index, fl := range files {
		root, complete := parseFile(fl, rp)
		readable = readable && complete
		checkFile(rp, root, index > 0)
		roots = append(roots, root)
	}
	checkDuplicateFiles(rp, files)
	checkOwners(rp, roots)
	st := &Settings{files: slices.Clone(files)}
	if readable {
		// Keys after a syntax error have not been read, and a merge would report them as missing.
		st.sites = mergeSites(rp, roots)
	}
	if err := rp.err(); err != nil {
		return nil, err
	}
	return st, nil
}

// checkDuplicateFiles reports a file name that occurs twice.
func checkDuplicateFiles(rp *report, files []File) {
	seen := map[string]bool{}
	for _, fl := range files {
		if seen[fl.Name] {
			rp.addf(fl.Name, 1, "", "the file was given twice")
		}
		seen[fl.Name] = true
	}
}

// checkFile checks a file on its own, so that values that an overlay replaces are checked too.
func checkFile(rp *report, root *table, overlay bool) {
	rd := newReader(rp, root, true)
	site := rd.overlaySite(overlay)
	for _, other := range rd.children("Sites") {
		if id := other.id("Sites"); overlay && site != "" && id != site {
			rp.addf(other.tb.file, other.tb.line, other.path, "an overlay describes only its own site, %s", site)
		}
	}
	rd.readRoot()
}

// overlaySite returns the site of an overlay. It reports a missing site in an overlay and a site in the base file.
func (rd *reader) overlaySite(overlay bool) string {
	en := rd.lookup("Site")
	if !overlay {
		if en != nil {
			rd.errorf("Site", en, "only an overlay names its site")
		}
		return ""
	}
	if en == nil {
		rd.rp.addf(rd.tb.file, 1, "Site", "missing; an overlay names the site that it is for")
		return ""
	}
	site, _ := rd.text("Site", "the id of a site")
	return site
}

// readRoot reads all tables of a file. It does not check references between them.
func (rd *reader) readRoot() *Effective {
	ef := &Effective{}
	if fleet := rd.tableOrEmpty("Fleet"); fleet != nil {
		ef.Fleet = readFleet(fleet)
	}
	for _, team := range rd.tables("Teams", checkID) {
		ef.Teams = append(ef.Teams, readTeam(team))
	}
	for _, service := range rd.tables("Services", checkID) {
		ef.Services = append(ef.Services, readService(service))
	}
	for _, site := range rd.tables("Sites", checkID) {
		readSite(site)
	}
	rd.reportUnknownKeys()
	return ef
}

// tableOrEmpty returns a reader for the table at the key. A missing table counts as an empty one, so that its defaults apply.
func (rd *reader) tableOrEmpty(key string) *reader {
	if rd.tb.entries[key] == nil {
		rd.used[key] = true
		return rd.child(key, newTable(rd.tb.file, rd.tb.line))
	}
	return rd.table(key)
}

// children returns a reader for each table under the key, sorted by name. Unlike tables, it reports no errors.
func (rd *reader) children(key string) []*reader {
	en := rd.tb.entries[key]
	if en == nil {
		return nil
	}
	tb, isTable := en.value.(*table)
	if !isTable {
		return nil
	}
	parent := rd.child(key, tb)
	var readers []*reader
	for _, name := range slices.Sorted(maps.Keys(tb.entries)) {
		if inner, isInner := tb.entries[name].value.(*table); isInner {
			readers = append(readers, parent.child(name, inner))
		}
	}
	return readers
}

// checkOwners reports a team that has different owners in two files, even if they are overlays of different sites.
func checkOwners(rp *report, roots []*table) {
	first := map[string]*entry{}
	for _, root := range roots {
		for _, team := range newReader(rp, root, true).children("Teams") {
			owner, isSet := team.tb.nonEmptyText("Owner")
			if !isSet {
				continue
			}
			en := team.tb.entries["Owner"]
			other, found := first[team.path]
			if !found {
				first[team.path] = en
				continue
			}
			if other.value != owner {
				team.errorf("Owner", en, "%q here, but %q in %s:%d; a team has one owner", owner, other.value, other.file, other.line)
			}
		}
	}
}

// mergeSites returns the effective settings of each site that any file describes.
func mergeSites(rp *report, roots []*table) []*Effective {
	base := roots[0]
	overlays := map[string]*table{}
	for _, root := range roots[1:] {
		addOverlay(rp, overlays, root)
	}
	ids := map[string]bool{}
	for _, root := range roots {
		for _, site := range newReader(rp, root, true).children("Sites") {
			ids[site.id("Sites")] = true
		}
	}
	if len(ids) == 0 {
		rp.addf(base.file, 1, "Sites", "missing; no file describes a site")
	}
	for id, overlay := range overlays {
		if !ids[id] {
			rd := newReader(rp, overlay, true)
			rd.errorf("Site", overlay.entries["Site"], "no site is named %q", id)
		}
	}
	sites := make([]*Effective, 0, len(ids))
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		root := base
		if overlay := overlays[id]; overlay != nil {
			root = merge(base, overlay)
		}
		sites = append(sites, mergeSite(rp, root, id))
	}
	return sites
}

// addOverlay adds an overlay by its site and reports a second overlay for the same site.
func addOverlay(rp *report, overlays map[string]*table, root *table) {
	id, isSet := root.nonEmptyText("Site")
	if !isSet {
		return
	}
	en := root.entries["Site"]
	if other := overlays[id]; other != nil {
		rp.addf(en.file, en.line, "Site", "%s is an overlay for %s too", other.file, id)
		return
	}
	overlays[id] = root
}

// mergeSite reads the effective settings of a site from its merged files.
func mergeSite(rp *report, root *table, id string) *Effective {
	rd := newReader(rp, withoutOtherSites(root, id), false)
	rd.used["Site"] = true
	ef := rd.readRoot()
	for _, site := range rd.children("Sites") {
		// readRoot has read and reported the site already.
		silent := newReader(newReport(nil), site.tb, false)
		silent.path = site.path
		ef.Site = readSite(silent)
	}
	ef.buildIndexes()
	checkTeams(rd, ef)
	checkServices(rd)
	ef.Values = sortValues(*rd.values)
	return ef
}

// withoutOtherSites returns a copy of the root table that has only the given site under Sites.
func withoutOtherSites(root *table, id string) *table {
	copied := newTable(root.file, root.line)
	maps.Copy(copied.entries, root.entries)
	en := root.entries["Sites"]
	if en == nil {
		return copied
	}
	sites, isTable := en.value.(*table)
	if !isTable {
		return copied
	}
	kept := newTable(sites.file, sites.line)
	if site := sites.entries[id]; site != nil {
		kept.entries[id] = site
	}
	copied.entries["Sites"] = &entry{file: en.file, line: en.line, value: kept}
	return copied
}

// Sites returns the ids of all sites in ascending order.
func (st *Settings) Sites() []chestnutroad.SiteID {
	ids := make([]chestnutroad.SiteID, 0, len(st.sites))
	for _, ef := range st.sites {
		ids = append(ids, ef.Site.ID)
	}
	return ids
}

// Files returns the files of the settings, the base file first.
func (st *Settings) Files() []File { return slices.Clone(st.files) }

// Effective returns the effective settings of the site, or false if there is no such site.
func (st *Settings) Effective(site chestnutroad.SiteID) (*Effective, bool) {
	for _, ef := range st.sites {
		if ef.Site.ID == site {
			return ef, true
		}
	}
	return nil, false
}

// buildIndexes builds the maps for lookups by id and token, which occur with each request.
func (ef *Effective) buildIndexes() {
	ef.teams = map[chestnutroad.TeamID]int{}
	ef.tokens = map[TokenHash]int{}
	ef.services = map[chestnutroad.ServiceID]int{}
	for index, tm := range ef.Teams {
		ef.teams[tm.ID] = index
		for _, hash := range tm.TokenHashes {
			ef.tokens[hash] = index
		}
	}
	for index, sv := range ef.Services {
		ef.services[sv.ID] = index
	}
}

// Team returns the team with the id, or false if there is none.
func (ef *Effective) Team(id chestnutroad.TeamID) (Team, bool) {
	index, found := ef.teams[id]
	if !found {
		return Team{}, false
	}
	return ef.Teams[index], true
}

// TeamByToken returns the team of the bearer token, or false if there is none.
func (ef *Effective) TeamByToken(token string) (Team, bool) {
	index, found := ef.tokens[HashToken(token)]
	if !found {
		return Team{}, false
	}
	return ef.Teams[index], true
}

// Service returns the service with the id, or false if there is none.
func (ef *Effective) Service(id chestnutroad.ServiceID) (Service, bool) {
	index, found := ef.services[id]
	if !found {
		return Service{}, false
	}
	return ef.Services[index], true
}
