package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which the script notes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (rc *record) printf(format string, values ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, _ = fmt.Fprintf(rc.file, "%8.3f s  %s\n", time.Since(rc.started).Seconds(), fmt.Sprintf(format, values...))
}
