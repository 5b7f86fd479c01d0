package chestnutroad

// PartHash identifies a prompt part in messages between hosts.
type PartHash uint64

// TargetHash identifies a target in messages between hosts; collisions of two targets of a site are possible but rare.
type TargetHash uint32

// Residence overrides the rendezvous hash of a prompt part: requests with the part are sent to a target that is not the first by
// hash, because the part was in use there before the first one joined.
type Residence struct {
	Part   PartHash
	Target TargetHash
}
