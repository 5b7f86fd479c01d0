// Package engine is a stand-in for a model engine. It runs chats in a continuous batch with a limited prefix cache, serves load
// reports and cache events, and accepts engine orders, which are commands of a controller and not the orders of callers. The
// tokens of an answer depend only on the request, so that any engine can resume any stream exactly.
package engine
