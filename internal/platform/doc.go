// Package platform implements HTTP clients for the platform's log service and host list.
package platform
