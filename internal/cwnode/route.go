package cwnode

// queuePerSlot is how many calls a server may hold for each of its slots.
const queuePerSlot = 2
