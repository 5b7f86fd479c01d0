package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, with times since the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path) //nolint:gosec // The path is the command's argument.
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// linef writes a line to the file.
func (rc *recorder) linef(at time.Time, format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, _ = fmt.Fprintf(rc.writer, "%9.3f s  %s\n", at.Sub(rc.started).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes a line to the file and to standard output.
func (rc *recorder) sayf(format string, args ...any) {
	now := time.Now()
	rc.linef(now, format, args...)
	_, _ = fmt.Fprintf(os.Stdout, "%9.3f s  %s\n", now.Sub(rc.started).Seconds(), fmt.Sprintf(format, args...))
}

func (rc *recorder) close() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_ = rc.writer.Flush()
	_ = rc.file.Close()
}
