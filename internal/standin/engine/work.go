package engine

import chestnutroad "github.com/chestnutroad/chestnutroad"

// Work returns the work that the engine carries at this moment, without the lag of its reports.
func (en *Engine) Work() chestnutroad.WorkUnits { return en.reports.at(0).work }
