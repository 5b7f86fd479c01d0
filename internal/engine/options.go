package engine

import "time"

// The default limits.
const (
	defaultDialTimeout     = time.Second
	defaultSendPingTimeout = 2 * time.Second
	defaultPingTimeout     = 2 * time.Second
	defaultIdleTimeout     = 90 * time.Second
	defaultPollTimeout     = 2 * time.Second
	defaultEventLimit      = 1 << 20
	defaultAnswerLimit     = 16 << 20
)

// Option changes a client.
type Option func(*Client)

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.limits.Dial = limit }
}

// WithHeadTimeout bounds the time to the response head; the default is no bound, since an engine may queue a chat.
func WithHeadTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.limits.Head = limit }
}

// WithPings sets the time without a frame after which a ping is sent, and the time within which it must be answered.
func WithPings(send, answer time.Duration) Option {
	return func(cl *Client) { cl.sendPing, cl.ping = send, answer }
}

// WithPollTimeout bounds load reports, cache events, health checks and orders.
func WithPollTimeout(limit time.Duration) Option {
	return func(cl *Client) { cl.pollTimeout = limit }
}

// WithEventLimit bounds the size of one server-sent event in bytes.
func WithEventLimit(limit int) Option {
	return func(cl *Client) { cl.eventLimit = limit }
}

// WithAnswerLimit bounds the size of a whole answer in bytes.
func WithAnswerLimit(limit int64) Option {
	return func(cl *Client) { cl.answerLimit = limit }
}
