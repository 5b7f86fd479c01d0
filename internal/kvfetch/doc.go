// Package kvfetch decides whether an engine should fetch a prompt part's KV cache from another engine, and from which one. It is
// pure: times are arguments.
package kvfetch
