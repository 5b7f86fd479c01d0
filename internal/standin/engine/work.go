package engine

import chestnutroad "github.com/chestnutroad/chestnutroad"

// Work returns the remaining work of all waiting and running chats now, without the lag of load reports.
func (en *Engine) Work() chestnutroad.WorkUnits { return en.history.asOf(0).work }
