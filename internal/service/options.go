package service

import "time"

// The defaults of the options; the body limit is in bytes.
const (
	defaultDialTimeout = time.Second
	defaultHeadTimeout = 10 * time.Second
	defaultBodyTimeout = 10 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultBodyLimit   = 16 << 20
)

// Option configures a Client.
type Option func(*Client)

// WithDialTimeout limits the time to open a connection.
func WithDialTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.timeouts.Dial = limit }
}

// WithHeadTimeout limits the time from the end of the request to the response head.
func WithHeadTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.timeouts.Head = limit }
}

// WithBodyTimeout limits the time of each read of the body.
func WithBodyTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.bodyTimeout = limit }
}

// WithIdleTimeout sets how long an unused connection stays open.
func WithIdleTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.timeouts.Idle = limit }
}

// WithBodyLimit limits the size of an answer's body in bytes.
func WithBodyLimit(limit int64) Option {
	return func(cl *Client) { cl.bodyLimit = limit }
}
