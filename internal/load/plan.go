package load

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Plan configures a run.
type Plan struct {
	// Entries are the base URLs of entry hosts.
	Entries []string
	// Token is the bearer token of all requests.
	Token string
	// Model is the model of chat requests; if empty, no chats are sent.
	Model string
	// OrderPath is the path of orders; if empty, no orders are sent.
	OrderPath string
	// OrderShare is the share of requests that are orders, from 0 to 1; without a model it is taken as 1.
	OrderShare float64
	// Rate is the number of requests per second, not counting retries; it must be positive.
	Rate float64
	// Duration is the time during which requests are started.
	Duration time.Duration
	// Chats is the initial number of chats; more are added while all of them wait for an answer.
	Chats int
	// MaxTokens is the max_tokens limit of chat requests.
	MaxTokens int
	// MaxAttempts is the maximum number of times that one request is sent.
	MaxAttempts int
	Seed        uint64
	// CheckChat, if set, checks the content of each complete chat answer against the request's body; an error counts the
	// answer as wrong.
	CheckChat func(body []byte, content string) error
	// Client defaults to http.DefaultClient.
	Client *http.Client
}

const (
	defaultMaxAttempts = 5
	defaultMaxTokens   = 32
	defaultChats       = 100
)

func (pl Plan) withDefaults() Plan {
	if pl.MaxAttempts <= 0 {
		pl.MaxAttempts = defaultMaxAttempts
	}
	if pl.MaxTokens <= 0 {
		pl.MaxTokens = defaultMaxTokens
	}
	if pl.Chats <= 0 {
		pl.Chats = defaultChats
	}
	if pl.Client == nil {
		pl.Client = http.DefaultClient
	}
	if pl.Model == "" {
		pl.OrderShare = 1
	}
	return pl
}

// generator generates the requests of a plan.
type generator struct {
	plan   Plan
	random *rand.Rand
	// number is the number of requests so far.
	number int

	mu sync.Mutex
	// chats holds the messages of each chat, of the user and the assistant in turn.
	chats [][]chatMessage
	// busy is true for chats whose last turn is not finished; a user reads an answer before sending the next turn.
	busy []bool
}

func newGenerator(plan Plan) *generator {
	return &generator{
		plan:   plan,
		random: rand.New(rand.NewPCG(plan.Seed, plan.Seed)),
		chats:  make([][]chatMessage, plan.Chats),
		busy:   make([]bool, plan.Chats),
	}
}

// next returns the next request, a random choice of an order or a turn of a chat, with a random first entry host.
func (ge *generator) next() *job {
	ge.number++
	firstEntry := ge.random.IntN(len(ge.plan.Entries))
	if ge.plan.OrderPath != "" && ge.random.Float64() < ge.plan.OrderShare {
		return newOrder(ge.number, ge.plan.Seed, firstEntry)
	}
	chat := ge.reserveChat()
	return newChatTurn(ge.plan, chat, ge.addUserMessage(chat), firstEntry)
}

// reserveChat marks a chat without a turn in progress as busy and returns its index. It adds a new chat if all are busy.
func (ge *generator) reserveChat() int {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	first := ge.random.IntN(len(ge.chats))
	for offset := range ge.chats {
		chat := (first + offset) % len(ge.chats)
		if !ge.busy[chat] {
			ge.busy[chat] = true
			return chat
		}
	}
	ge.chats = append(ge.chats, nil)
	ge.busy = append(ge.busy, true)
	return len(ge.chats) - 1
}

// addUserMessage appends the user's next message to a chat and returns all its messages.
func (ge *generator) addUserMessage(chat int) []chatMessage {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	turn := len(ge.chats[chat])
	text := strings.Repeat("chat "+strconv.Itoa(chat)+" turn "+strconv.Itoa(turn)+" ", promptWords/4)
	ge.chats[chat] = append(ge.chats[chat], chatMessage{Role: "user", Content: text})
	return slices.Clone(ge.chats[chat])
}

// finish appends the answer, empty if there was none, to the job's chat and releases the chat. It ignores orders.
func (ge *generator) finish(jb *job) {
	if !jb.chat {
		return
	}
	ge.mu.Lock()
	defer ge.mu.Unlock()
	ge.busy[jb.chatIndex] = false
	ge.chats[jb.chatIndex] = append(ge.chats[jb.chatIndex], chatMessage{Role: "assistant", Content: jb.answer})
}

// defaultRetryWait is the wait before a retry after a broken connection, or after a refusal without RetryAfterMs.
const defaultRetryWait = 100 * time.Millisecond

// orderKey returns the idempotency key of an order.
func orderKey(seed uint64, number int) string {
	return "load-" + strconv.FormatUint(seed, 10) + "-" + strconv.Itoa(number)
}
