// Package engine is a stand-in for a model engine: chats in continuous batches with a limited prefix cache, load reports,
// cache events and orders. Its tokens are a function of the prompt, so that any engine continues any stream exactly.
package engine
