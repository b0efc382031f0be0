package peer

const maxMessageBytes = 32 << 20
