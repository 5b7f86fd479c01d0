// Package engine is a stand-in for a model engine. It runs chats in a continuous batch with a limited prefix cache, serves load
// reports and cache events, and accepts orders. The tokens of an answer depend only on the request, so that any engine can resume
// any stream exactly.
package engine
