#pragma once

// Conversions between the structs of peer_messages.h and the wire messages that peer_client.cpp and peer_service.cpp share.
// Private to src/net. Only .cpp files include the generated header.

#include "net/peer_messages.h"

namespace daisypass {

namespace peer {

class GossipMessage;
class BorrowAnswer;
class FateAnswer;

} // namespace peer

/** Discards gRPC's own log lines: failures are reported as typed values, and gRPC's lines are not in the JSON format of log.h. */
void disableGrpcLog();

void toWire(const gossip_message &from, peer::GossipMessage &to);
gossip_message fromWire(const peer::GossipMessage &from);

void toWire(const fate_answer &from, peer::FateAnswer &to);
fate_answer fromWire(const peer::FateAnswer &from);

} // namespace daisypass
