#pragma once

// Conversions between the structs of peer_messages.h and the wire messages that peer_client.cpp and peer_service.cpp share.
// Private to src/net: the generated header is included by sources only.

#include "net/peer_messages.h"

namespace daisypass {

namespace peer {

class GossipMessage;
class BorrowAnswer;
class FateAnswer;

} // namespace peer

/** Drops gRPC's own log lines: failures are reported as typed values, and its lines do not have the form of log.h. */
void silenceTransportLog();

void toWire(const gossip_message &from, peer::GossipMessage &to);
gossip_message fromWire(const peer::GossipMessage &from);

void toWire(const fate_answer &from, peer::FateAnswer &to);
fate_answer fromWire(const peer::FateAnswer &from);

} // namespace daisypass
