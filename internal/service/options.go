package service

import "time"

// The default limits.
const (
	defaultDialTimeout = time.Second
	defaultHeadTimeout = 10 * time.Second
	defaultBodyTimeout = 10 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultBodyLimit   = 16 << 20
)

// Option changes a client.
type Option func(*Client)

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.limits.Dial = limit }
}

// WithHeadTimeout bounds the time from the end of the request to the response head.
func WithHeadTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.limits.Head = limit }
}

// WithBodyTimeout bounds the time between two pieces of the body.
func WithBodyTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.bodyTimeout = limit }
}

// WithIdleTimeout sets how long a connection stays open without a call.
func WithIdleTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.limits.Idle = limit }
}

// WithBodyLimit bounds the size of an answer in bytes.
func WithBodyLimit(limit int64) Option {
	return func(cl *Client) { cl.bodyLimit = limit }
}
