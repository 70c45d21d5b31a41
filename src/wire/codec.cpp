#include "tarragonspar/wire/codec.hpp"

#include <cstring>
#include <limits>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>

namespace tarragonspar::wire {

namespace {

/// Value on the wire for a request without a latency objective.
constexpr std::int64_t no_objective = std::numeric_limits<std::int64_t>::min();

} // namespace

namespace {

std::string text_of(capnp::Text::Reader in) {
    return {in.begin(), in.size()};
}

std::string data_of(capnp::Data::Reader in) {
    return {reinterpret_cast<const char*>(in.begin()), in.size()};
}

capnp::Data::Reader as_data(const std::string& in) {
    return {reinterpret_cast<const capnp::byte*>(in.data()), in.size()};
}

void write_member(schema::Member::Builder out, const membership::member& value) {
    out.setId(value.id.value);
    out.setIncarnation(value.started_as.value);
    out.setVersion(value.version);
    out.setStatus(static_cast<std::uint8_t>(value.status));
}

membership::member read_member(schema::Member::Reader in) {
    constexpr auto last = static_cast<std::uint8_t>(membership::member_status::dead);
    return {.id = {in.getId()},
            .started_as = {in.getIncarnation()},
            .version = in.getVersion(),
            .status = static_cast<membership::member_status>(std::min(in.getStatus(), last))};
}

outcome read_outcome(std::uint8_t value) {
    return value <= static_cast<std::uint8_t>(outcome::unknown) ? static_cast<outcome>(value)
                                                                : outcome::unknown;
}

reason read_reason(std::uint8_t value) {
    return value <= static_cast<std::uint8_t>(reason::quarantined) ? static_cast<reason>(value)
                                                                   : reason::none;
}

struct event_writer {
    schema::AnswerEvent::Builder out;

    void operator()(const dispatch::answer_started& value) {
        auto started = out.initStarted();
        started.setServer(value.server.value);
        started.setStatus(static_cast<std::uint16_t>(value.status));
        started.setContentType(value.content_type);
        started.setCachedTokens(value.cached.value);
    }

    void operator()(const dispatch::answer_piece& value) {
        auto piece = out.initPiece();
        piece.setOffset(value.offset);
        piece.setTokens(value.tokens);
        piece.setText(as_data(value.text));
    }

    void operator()(const dispatch::answer_finished& value) {
        auto finished = out.initFinished();
        finished.setOutcome(static_cast<std::uint8_t>(value.result));
        finished.setReason(static_cast<std::uint8_t>(value.why));
        finished.setRetryAfterUs(value.retry_after.count());
        finished.setFinishReason(value.finish_reason);
        finished.setPromptTokens(value.prompt.value);
        finished.setGeneratedTokens(value.generated.value);
        finished.setCachedTokens(value.cached.value);
    }
};

} // namespace

void write(schema::RequestId::Builder out, const request_id& value) {
    out.setIssuer(value.issuer.value);
    out.setIncarnation(value.issued_in.value);
    out.setSequence(value.sequence);
}

request_id read(schema::RequestId::Reader in) {
    return {.issuer = {in.getIssuer()},
            .issued_in = {in.getIncarnation()},
            .sequence = in.getSequence()};
}

void write(schema::Work::Builder out, const work_item& value, time_point now) {
    write(out.initId(), value.id);
    out.setTier(value.urgency.value);
    out.setWorkspace(value.workspace.value);
    out.setModel(value.model.value);
    out.setProfile(value.profile);
    out.setAgeUs((now - value.arrival).count());
    out.setRemainingUs((value.deadline - now).count());
    out.setPromptTokens(value.prompt.value);
    out.setMaxOutputTokens(value.max_output.value);
    out.setIdempotent(value.idempotent);
    out.setRepeated(value.repeated);
    out.setStream(value.stream);
    out.setResumedStream(value.resumed_stream);
    out.setSoftware(value.software.value);
    out.setSeveralVersions(value.several_versions);
    out.setTransfers(value.transfers);
    auto avoid = out.initAvoid(static_cast<unsigned>(value.avoid.size()));
    for (unsigned i = 0; i < avoid.size(); ++i) {
        avoid.set(i, value.avoid[i].value);
    }
    out.setQuotaUnits(value.quota_units);
    out.setOriginDomain(value.origin_domain.value);
    out.setRank(value.rank.value);
    out.setExpectedOutput(value.expected_output.value);
    out.setObjectiveUs(value.objective == time_point{} ? no_objective
                                                       : (value.objective - now).count());
    auto blocks = out.initBlocks(static_cast<unsigned>(value.blocks.size()));
    for (unsigned i = 0; i < blocks.size(); ++i) {
        blocks.set(i, value.blocks[i].value);
    }
    auto parts = out.initSharedParts(static_cast<unsigned>(value.prompt_parts.size()));
    for (unsigned i = 0; i < parts.size(); ++i) {
        parts.set(i, value.prompt_parts[i]);
    }
}

work_item read(schema::Work::Reader in, time_point now) {
    work_item value;
    value.id = read(in.getId());
    value.urgency = {std::min<std::uint8_t>(in.getTier(), tier_count - 1)};
    value.workspace = {in.getWorkspace()};
    value.model = {in.getModel()};
    value.profile = in.getProfile();
    value.arrival = now - duration{std::max<std::int64_t>(0, in.getAgeUs())};
    value.deadline = now + duration{in.getRemainingUs()};
    value.prompt = {in.getPromptTokens()};
    value.max_output = {in.getMaxOutputTokens()};
    value.idempotent = in.getIdempotent();
    value.repeated = in.getRepeated();
    value.stream = in.getStream();
    value.resumed_stream = in.getResumedStream();
    value.software = {in.getSoftware()};
    value.several_versions = in.getSeveralVersions();
    value.transfers = in.getTransfers();
    for (const auto id : in.getAvoid()) {
        value.avoid.push_back({id});
    }
    value.quota_units = in.getQuotaUnits();
    value.origin_domain = {in.getOriginDomain()};
    value.rank = {std::min<std::uint8_t>(in.getRank(), rank_count - 1)};
    value.expected_output = {in.getExpectedOutput()};
    if (in.getObjectiveUs() != no_objective) {
        value.objective = now + duration{in.getObjectiveUs()};
    }
    for (const auto block : in.getBlocks()) {
        value.blocks.push_back({block});
    }
    for (const auto part : in.getSharedParts()) {
        value.prompt_parts.push_back(part);
    }
    return value;
}

std::string pack(const work_item& value, time_point now) {
    capnp::MallocMessageBuilder message;
    write(message.initRoot<schema::Work>(), value, now);
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<work_item> unpack_work(std::string_view bytes, time_point now) {
    // The reader requires complete, aligned words.
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    if (!words.empty()) {
        std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
    }
    std::optional<work_item> value;
    const auto failed = kj::runCatchingExceptions([&] {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
        value = read(reader.getRoot<schema::Work>(), now);
    });
    if (failed != nullptr) {
        return std::nullopt;
    }
    return value;
}

void write(schema::Call::Builder out, const dispatch::call_body& value) {
    out.setPlain(value.plain);
    out.setMethod(value.method);
    out.setTarget(value.target);
    out.setContentType(value.content_type);
    out.setBody(as_data(value.body));
}

dispatch::call_body read(schema::Call::Reader in) {
    return {.plain = in.getPlain(),
            .method = text_of(in.getMethod()),
            .target = text_of(in.getTarget()),
            .content_type = text_of(in.getContentType()),
            .body = data_of(in.getBody())};
}

void write(schema::AnswerEvent::Builder out, const dispatch::answer_event& value) {
    std::visit(event_writer{out}, value);
}

dispatch::answer_event read(schema::AnswerEvent::Reader in) {
    switch (in.which()) {
    case schema::AnswerEvent::STARTED: {
        const auto started = in.getStarted();
        return dispatch::answer_started{.server = {started.getServer()},
                                        .status = started.getStatus(),
                                        .content_type = text_of(started.getContentType()),
                                        .cached = {started.getCachedTokens()}};
    }
    case schema::AnswerEvent::PIECE: {
        const auto piece = in.getPiece();
        return dispatch::answer_piece{.offset = piece.getOffset(),
                                      .tokens = piece.getTokens(),
                                      .text = data_of(piece.getText())};
    }
    case schema::AnswerEvent::FINISHED:
        break;
    }
    const auto finished = in.getFinished();
    return dispatch::answer_finished{.result = read_outcome(finished.getOutcome()),
                                     .why = read_reason(finished.getReason()),
                                     .retry_after = duration{finished.getRetryAfterUs()},
                                     .finish_reason = text_of(finished.getFinishReason()),
                                     .prompt = {finished.getPromptTokens()},
                                     .generated = {finished.getGeneratedTokens()},
                                     .cached = {finished.getCachedTokens()}};
}

void write(schema::ModelDigest::Builder out, const routing::model_digest& value) {
    out.setModel(value.model.value);
    out.setFreeSlots(value.free_slots);
    out.setSlots(value.slots);
    out.setQueuedSeconds(value.queued_seconds);
    out.setLowestKept(value.lowest_kept ? static_cast<std::int8_t>(value.lowest_kept->value)
                                        : std::int8_t{-1});
    out.setQueued(value.queued);
    out.setPrefillRate(value.prefill_tokens_per_second);
    out.setServiceSeconds(value.service_seconds);
}

routing::model_digest read(schema::ModelDigest::Reader in) {
    routing::model_digest value;
    value.model = {in.getModel()};
    value.free_slots = in.getFreeSlots();
    value.slots = in.getSlots();
    value.queued_seconds = in.getQueuedSeconds();
    if (in.getLowestKept() >= 0 && in.getLowestKept() < tier_count) {
        value.lowest_kept = tier{static_cast<std::uint8_t>(in.getLowestKept())};
    }
    value.queued = in.getQueued();
    value.prefill_tokens_per_second = in.getPrefillRate();
    value.service_seconds = in.getServiceSeconds();
    return value;
}

void write_digest(capnp::List<schema::ModelDigest>::Builder out,
                  const std::vector<routing::model_digest>& value) {
    for (unsigned i = 0; i < out.size(); ++i) {
        write(out[i], value[i]);
    }
}

std::vector<routing::model_digest> read_digest(capnp::List<schema::ModelDigest>::Reader in) {
    std::vector<routing::model_digest> value;
    for (const auto item : in) {
        value.push_back(read(item));
    }
    return value;
}

void write(schema::Gossip::Builder out, const gossip_message& value) {
    write_member(out.initSelf(), value.self);
    auto members = out.initMembers(static_cast<unsigned>(value.members.size()));
    for (unsigned i = 0; i < members.size(); ++i) {
        write_member(members[i], value.members[i]);
    }
    write_digest(out.initDigest(static_cast<unsigned>(value.digest.size())), value.digest);
    out.setRevision(value.newest.value);
}

gossip_message read(schema::Gossip::Reader in) {
    gossip_message value;
    value.self = read_member(in.getSelf());
    for (const auto item : in.getMembers()) {
        value.members.push_back(read_member(item));
    }
    value.digest = read_digest(in.getDigest());
    value.newest = {in.getRevision()};
    return value;
}

} // namespace tarragonspar::wire
