#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "tarragonspar/dispatch/answer.hpp"
#include "tarragonspar/dispatch/events.hpp"
#include "tarragonspar/types/work.hpp"
#include "tarragonspar/wire/messages.hpp"
#include "tarragonspar/wire/schema/instance.capnp.h"

/// @brief Conversions between the project's types and the messages between instances.
///
/// Reading never throws on values out of range: they are clamped or become `unknown`.
namespace tarragonspar::wire {

void write(schema::RequestId::Builder out, const request_id& value);
[[nodiscard]] request_id read(schema::RequestId::Reader in);

/// @param now  reference time: times are sent relative to it
void write(schema::Work::Builder out, const work_item& value, time_point now);
[[nodiscard]] work_item read(schema::Work::Reader in, time_point now);

/// @brief Serializes a work item, for queries between instances.
[[nodiscard]] std::string pack(const work_item& value, time_point now);

/// @brief Parses the output of `pack`.
/// @return nothing when the bytes are malformed
[[nodiscard]] std::optional<work_item> unpack_work(std::string_view bytes, time_point now);

void write(schema::Call::Builder out, const dispatch::call_body& value);
[[nodiscard]] dispatch::call_body read(schema::Call::Reader in);

void write(schema::AnswerEvent::Builder out, const dispatch::answer_event& value);
[[nodiscard]] dispatch::answer_event read(schema::AnswerEvent::Reader in);

void write(schema::ModelDigest::Builder out, const routing::model_digest& value);
[[nodiscard]] routing::model_digest read(schema::ModelDigest::Reader in);

void write(schema::Gossip::Builder out, const gossip_message& value);
[[nodiscard]] gossip_message read(schema::Gossip::Reader in);

void write_digest(capnp::List<schema::ModelDigest>::Builder out,
                  const std::vector<routing::model_digest>& value);
[[nodiscard]] std::vector<routing::model_digest>
read_digest(capnp::List<schema::ModelDigest>::Reader in);

} // namespace tarragonspar::wire
