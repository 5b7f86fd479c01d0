// Package raw is a stand-in for a target that violates HTTP. It answers each request with given bytes, and then leaves the
// connection open, closes it or resets it.
package raw
