// Package raw is a stand-in for a target that breaks HTTP: it answers each request with given bytes, and then keeps,
// closes or resets the connection.
package raw
