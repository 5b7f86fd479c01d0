package replay

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// dialTimeout ends an attempt to connect to a machine that does not answer.
	dialTimeout = time.Second
	// anyDataCentre is the place of a router that reaches all machines without delay.
	anyDataCentre = chestnutroad.DataCentreID("")
)

// network delays messages between data centres and drops those across a partition. Messages inside a data centre take
// no time.
type network struct {
	oneWay time.Duration
	partitioned    map[chestnutroad.DataCentreID]bool
}

// reaches reports whether messages pass between two data centres.
func (nw *network) reaches(from, to chestnutroad.DataCentreID) bool {
	if from == to || from == anyDataCentre || to == anyDataCentre {
		return true
	}
	return !nw.partitioned[from] && !nw.partitioned[to]
}

// reachesPlatform reports whether the data centre reaches the log and the host list.
func (nw *network) reachesPlatform(from chestnutroad.DataCentreID) bool { return !nw.partitioned[from] }

func (nw *network) latency(from, to chestnutroad.DataCentreID) time.Duration {
	if from == to || from == anyDataCentre || to == anyDataCentre {
		return 0
	}
	return nw.oneWay
}

// send runs fn when a message from one data centre arrives at the other; it reports false for a lost one.
func (si *simulation) send(from, to chestnutroad.DataCentreID, fn func()) bool {
	if !si.net.reaches(from, to) {
		return false
	}
	si.queue.after(si.net.latency(from, to), fn)
	return true
}
