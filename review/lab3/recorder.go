package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	started time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path) //nolint:gosec // The path is the argument of the script.
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// printf writes a line with the time since the start.
func (rc *recorder) printf(format string, arguments ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, _ = fmt.Fprintf(rc.writer, "%8.3f ", time.Since(rc.started).Seconds())
	_, _ = fmt.Fprintf(rc.writer, format+"\n", arguments...)
}

// ran records that a runner began to run a request.
func (rc *recorder) ran(runner, version, id, resumesAfter string) {
	if resumesAfter == "" {
		rc.printf("runner %s (%s) runs %s", runner, version, id)
		return
	}
	rc.printf("runner %s (%s) runs %s after event %s", runner, version, id, resumesAfter)
}

func (rc *recorder) close() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_ = rc.writer.Flush()
	_ = rc.file.Close()
}
