package chestnutroad

// PartHash names a prompt part in messages between hosts.
type PartHash uint64

// TargetHash names a target in messages between hosts; two targets of a site rarely have the same.
type TargetHash uint32

// Residence says that requests with a prompt part go to a target that is not the first by the part's hash, since the part
// was in use there before the first one joined.
type Residence struct {
	Part   PartHash
	Target TargetHash
}
