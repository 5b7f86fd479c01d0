package replay

import (
	"time"

	"github.com/chestnutroad/chestnutroad"
)

const (
	// dialTimeout is the time after which a connection attempt to an unresponsive machine fails.
	dialTimeout = time.Second
	// anyDataCentre is the location of a pool's single router, which reaches all machines without delay.
	anyDataCentre = chestnutroad.DataCentreID("")
)

// network delays messages between data centres and drops those across a partition. Messages within a data centre have no
// delay.
type network struct {
	oneWay      time.Duration
	partitioned map[chestnutroad.DataCentreID]bool
}

// reaches reports whether no partition separates the two data centres.
func (nw *network) reaches(from, to chestnutroad.DataCentreID) bool {
	if from == to || from == anyDataCentre || to == anyDataCentre {
		return true
	}
	return !nw.partitioned[from] && !nw.partitioned[to]
}

// reachesPlatform reports whether the data centre can reach the platform's log.
func (nw *network) reachesPlatform(from chestnutroad.DataCentreID) bool { return !nw.partitioned[from] }

func (nw *network) latency(from, to chestnutroad.DataCentreID) time.Duration {
	if from == to || from == anyDataCentre || to == anyDataCentre {
		return 0
	}
	return nw.oneWay
}

// send runs fn when a message arrives at the other data centre. It returns false if a partition drops the message.
func (si *simulation) send(from, to chestnutroad.DataCentreID, fn func()) bool {
	if !si.net.reaches(from, to) {
		return false
	}
	si.queue.after(si.net.latency(from, to), fn)
	return true
}
