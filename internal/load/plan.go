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

// Plan says what is sent and where.
type Plan struct {
	// Entries are the base URLs of entry hosts.
	Entries []string
	Token   string
	// Model is the model that chats ask for; empty sends no chats.
	Model string
	// OrderPath is the path of orders; empty sends no orders.
	OrderPath string
	// OrderShare is the part of requests that are orders, from 0 to 1.
	OrderShare float64
	// Rate is the number of requests a second.
	Rate     float64
	Duration time.Duration
	// Chats is the number of chats that return.
	Chats int
	// MaxTokens is the length of an answer.
	MaxTokens int
	// MaxAttempts is the most times that one request is sent, with the same idempotency key.
	MaxAttempts int
	Seed        uint64
	// CheckChat is given the body and the content of each whole chat answer; its error counts as a wrong answer.
	CheckChat func(body []byte, content string) error
	Client    *http.Client
}

const (
	defaultTries     = 5
	defaultMaxTokens = 32
	defaultChats     = 100
)

func (pl Plan) withDefaults() Plan {
	if pl.MaxAttempts <= 0 {
		pl.MaxAttempts = defaultTries
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

// sender draws the requests of a plan.
type sender struct {
	plan   Plan
	random *rand.Rand
	number int

	mu sync.Mutex
	// chats holds the messages of each chat so far.
	chats [][]chatMessage
	// busy marks chats whose last turn has no answer yet; a person reads an answer before writing the next turn.
	busy []bool
}

func newSender(plan Plan) *sender {
	return &sender{
		plan:   plan,
		random: rand.New(rand.NewPCG(plan.Seed, plan.Seed)),
		chats:  make([][]chatMessage, plan.Chats),
		busy:   make([]bool, plan.Chats),
	}
}

// next returns the next request of the plan.
func (se *sender) next() *job {
	se.number++
	first := se.random.IntN(len(se.plan.Entries))
	if se.plan.OrderPath != "" && se.random.Float64() < se.plan.OrderShare {
		return newOrder(se.number, se.plan.Seed, first)
	}
	chat := se.idleChat()
	return newChat(se.plan, chat, se.messages(chat), first)
}

// idleChat returns a chat whose last turn was answered. When all are busy a new chat begins.
func (se *sender) idleChat() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	first := se.random.IntN(len(se.chats))
	for offset := range se.chats {
		chat := (first + offset) % len(se.chats)
		if !se.busy[chat] {
			se.busy[chat] = true
			return chat
		}
	}
	se.chats = append(se.chats, nil)
	se.busy = append(se.busy, true)
	return len(se.chats) - 1
}

// messages adds the user's next message to a chat and returns all of them.
func (se *sender) messages(chat int) []chatMessage {
	se.mu.Lock()
	defer se.mu.Unlock()
	turn := len(se.chats[chat])
	text := strings.Repeat("chat "+strconv.Itoa(chat)+" turn "+strconv.Itoa(turn)+" ", promptWords/4)
	se.chats[chat] = append(se.chats[chat], chatMessage{Role: "user", Content: text})
	return slices.Clone(se.chats[chat])
}

// finished adds the answer to the job's chat and lets the chat return.
func (se *sender) finished(jb *job) {
	if !jb.chat {
		return
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	se.busy[jb.number] = false
	se.chats[jb.number] = append(se.chats[jb.number], chatMessage{Role: "assistant", Content: jb.answer})
}

// retryWait is used when a refusal names no time to come back.
const retryWait = 100 * time.Millisecond

func keyOf(seed uint64, number int) string {
	return "load-" + strconv.FormatUint(seed, 10) + "-" + strconv.Itoa(number)
}
