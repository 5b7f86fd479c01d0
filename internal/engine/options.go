package engine

import "time"

// The defaults of the options; the event and answer limits are in bytes.
const (
	defaultDialTimeout = time.Second
	defaultPingAfter   = 2 * time.Second
	defaultPingTimeout = 2 * time.Second
	defaultIdleTimeout = 90 * time.Second
	defaultPollTimeout = 2 * time.Second
	defaultEventLimit  = 1 << 20
	defaultAnswerLimit = 16 << 20
)

// Option configures a Client.
type Option func(*Client)

// WithDialTimeout limits the time to open a connection.
func WithDialTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.limits.Dial = limit }
}

// WithHeadTimeout limits the time from the end of the request to the response head. There is no limit by default, since an engine
// may queue a chat before it answers.
func WithHeadTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.limits.Head = limit }
}

// WithPings sets the time without a received frame after which the client sends an HTTP/2 ping, and the time that it waits for
// the answer before it closes the connection.
func WithPings(after, timeout time.Duration) Option {
	return func(cl *Client) { cl.pingAfter, cl.pingTimeout = after, timeout }
}

// WithPollTimeout limits the time of each exchange other than a chat: load reports, cache events, health checks and orders.
func WithPollTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.pollTimeout = limit }
}

// WithEventLimit limits the size of a server-sent event in bytes.
func WithEventLimit(limit int) Option {
	return func(cl *Client) { cl.eventLimit = limit }
}

// WithAnswerLimit limits the size of an answer that is not streamed, in bytes.
func WithAnswerLimit(limit int64) Option {
	return func(cl *Client) { cl.answerLimit = limit }
}
