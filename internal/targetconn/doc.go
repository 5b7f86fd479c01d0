// Package targetconn exchanges HTTP/1.1 requests and answers with targets over pooled connections, and reports whether a
// failed request was sent at all.
package targetconn
