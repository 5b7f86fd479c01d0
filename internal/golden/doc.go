// Package golden compares what the system writes with files kept under testdata, so that a renamed field or value fails a
// test instead of changing a format. Only tests import it.
package golden
