package engine

import (
	"container/list"
	"sync"
	"time"

	chestnutroad "github.com/chestnutroad/chestnutroad"
)

// maxEvents limits the number of events that the cache holds for polls.
const maxEvents = 4096

// cache is the prefix cache: the number of cached tokens per chat. It evicts the least recently used chats first.
type cache struct {
	maxTokens chestnutroad.Tokens

	mu           sync.Mutex
	tokens       chestnutroad.Tokens
	chats        map[string]*list.Element
	lru          *list.List
	lastSequence uint64
	events       []cacheEvent
}

type cachedChat struct {
	chat   string
	tokens chestnutroad.Tokens
}

type cacheEvent struct {
	sequence uint64
	at       time.Time
	cachedChat
}

func newCache(maxTokens chestnutroad.Tokens) *cache {
	return &cache{maxTokens: maxTokens, chats: make(map[string]*list.Element), lru: list.New()}
}

// lookup returns how many tokens of the chat's prompt are cached, and marks the chat as recently used.
func (ca *cache) lookup(chat string, prompt chestnutroad.Tokens) chestnutroad.Tokens {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	element, ok := ca.chats[chat]
	if !ok {
		return 0
	}
	ca.lru.MoveToBack(element)
	return min(prompt, entry(element).tokens)
}

// store caches the chat's context after an answer, and evicts other chats to make room. A context larger than the cache is not
// stored.
func (ca *cache) store(chat string, tokens chestnutroad.Tokens) {
	if chat == "" || tokens > ca.maxTokens {
		return
	}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.remove(chat)
	for ca.tokens+tokens > ca.maxTokens {
		oldest := entry(ca.lru.Front()).chat
		ca.remove(oldest)
		ca.recordEvent(cachedChat{chat: oldest})
	}
	added := cachedChat{chat: chat, tokens: tokens}
	ca.chats[chat] = ca.lru.PushBack(&added)
	ca.tokens += tokens
	ca.recordEvent(added)
}

func (ca *cache) remove(chat string) {
	element, ok := ca.chats[chat]
	if !ok {
		return
	}
	ca.tokens -= entry(element).tokens
	ca.lru.Remove(element)
	delete(ca.chats, chat)
}

// recordEvent adds an event for the chat's new number of cached tokens, which is 0 after an eviction.
func (ca *cache) recordEvent(chat cachedChat) {
	ca.lastSequence++
	ca.events = append(ca.events, cacheEvent{sequence: ca.lastSequence, at: time.Now(), cachedChat: chat})
	if len(ca.events) > maxEvents {
		ca.events = ca.events[1:]
	}
}

// eventsAfter returns the events after the sequence number that are at least as old as the given age. If gap is positive, it
// leaves out each event whose sequence number is a multiple of gap.
func (ca *cache) eventsAfter(after uint64, age time.Duration, gap int) []cacheEvent {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	newest := time.Now().Add(-age)
	var events []cacheEvent
	for _, event := range ca.events {
		if event.sequence <= after || event.at.After(newest) {
			continue
		}
		if gap > 0 && event.sequence%uint64(gap) == 0 {
			continue
		}
		events = append(events, event)
	}
	return events
}

func entry(element *list.Element) *cachedChat {
	cached, ok := element.Value.(*cachedChat)
	if !ok {
		return new(cachedChat)
	}
	return cached
}
