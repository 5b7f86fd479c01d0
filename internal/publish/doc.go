// Package publish takes configurations through the platform's log for operators.
package publish
