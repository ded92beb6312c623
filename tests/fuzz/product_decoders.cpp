#include "decoder.h"

#include "bergamotwick/config.h"
#include "core/batch/codec.h"
#include "core/batch/framing.h"
#include "core/commit/claims.h"
#include "core/commit/control.h"
#include "core/report/lateness.h"
#include "core/scheduling/job_record.h"
#include "daemon/settings.h"
#include "forwarding_codec.h"
#include "job_codec.h"
#include "store/gateway_json.h"
#include "wire/codec.h"

#include <array>
#include <cstdlib>
#include <cstring>
#include <sstream>

namespace bergamotwick::fuzz {

namespace {

/// Runs \p call, which may fail with one of \p Errors only.
template<class... Errors, class Call>
void expectOnly(Call call)
{
    leaf::try_handle_all([&]() -> Result<void> { return call(); }, [](const Errors &) {}..., [] { std::abort(); });
}

/// Returns \p body behind a header with a valid checksum, so that it reaches the decoder behind the header.
std::string frame(batch::PayloadKind kind, const std::string &body)
{
    const std::uint32_t sum = batch::checksum(body, kind);
    std::string bytes{static_cast<char>(batch::formatVersion), static_cast<char>(kind)};
    bytes.append(reinterpret_cast<const char *>(&sum), sizeof(sum));
    return bytes + body;
}

/// Decodes \p body as a framed payload and checks that the result survives another round.
template<class Decode>
void decodePayload(batch::PayloadKind kind, const std::string &body, Decode decode)
{
    expectOnly<WireError>([&]() -> Result<void> { return decode(body); });
    expectOnly<WireError>([&]() -> Result<void> { return decode(frame(kind, body)); });
}

void decodeSubmission(const std::string &input)
{
    decodePayload(batch::PayloadKind::Submission, input, [](const std::string &bytes) -> Result<void> {
        BOOST_LEAF_AUTO(value, batch::decodeSubmission(bytes));
        BOOST_LEAF_CHECK(batch::decodeSubmission(batch::encode(value)));
        return {};
    });
}

void decodeFoldedProgress(const std::string &input)
{
    decodePayload(batch::PayloadKind::FoldedProgress, input, [](const std::string &bytes) -> Result<void> {
        BOOST_LEAF_AUTO(value, batch::decodeProgress(bytes));
        BOOST_LEAF_CHECK(batch::decodeProgress(batch::encode(batch::fold(batch::recordOf(value)))));
        return {};
    });
}

void decodeProgress(const std::string &input)
{
    decodePayload(batch::PayloadKind::Progress, input, [](const std::string &bytes) -> Result<void> {
        BOOST_LEAF_AUTO(value, batch::decodeProgress(bytes));
        (void)platform::encodeState(value.state_);
        BOOST_LEAF_CHECK(batch::decodeProgress(batch::encode(value)));
        return {};
    });
}

void decodeCrashHistory(const std::string &input)
{
    decodePayload(batch::PayloadKind::CrashHistory, input, [](const std::string &bytes) -> Result<void> {
        BOOST_LEAF_AUTO(value, batch::decodeCrashHistory(bytes));
        BOOST_LEAF_CHECK(batch::decodeCrashHistory(batch::encode(value)));
        return {};
    });
}

void decodeStartRecord(const std::string &input)
{
    decodePayload(batch::PayloadKind::StartRecord, input, [](const std::string &bytes) -> Result<void> {
        BOOST_LEAF_AUTO(value, batch::decodeStartRecord(bytes));
        BOOST_LEAF_CHECK(batch::decodeStartRecord(batch::encode(value)));
        return {};
    });
}

void decodeAcceptedSettings(const std::string &input)
{
    decodePayload(batch::PayloadKind::AcceptedSettings, input, [](const std::string &bytes) -> Result<void> {
        BOOST_LEAF_AUTO(value, batch::decodeAcceptedSettings(bytes));
        BOOST_LEAF_CHECK(batch::decodeAcceptedSettings(batch::encode(value)));
        return {};
    });
}

/// What is read is also loaded, as any values may be stored.
void decodeFleetProfile(const std::string &input)
{
    decodePayload(batch::PayloadKind::FleetProfile, input, [](const std::string &bytes) -> Result<void> {
        BOOST_LEAF_AUTO(value, batch::decodeFleetProfile(bytes));
        BOOST_LEAF_CHECK(batch::decodeFleetProfile(batch::encode(value)));
        batch::HostProfiles hosts;
        hosts.load(value.hosts_, batch::CalendarTime{});
        hosts.refresh(Instant(std::chrono::hours(1)));
        (void)hosts.toStore();
        batch::RunTimes times;
        times.load(value.queues_);
        (void)times.expected("queue", batch::milliseconds(1'000));
        return {};
    });
}

void decodeReport(const std::string &input)
{
    decodePayload(batch::PayloadKind::Report, input, [](const std::string &bytes) -> Result<void> {
        BOOST_LEAF_AUTO(value, batch::decodeReport(bytes));
        for (const batch::EndedRun &ended : value.ended_) {
            (void)std::strlen(platform::endKindName(ended.kind_));
        }
        BOOST_LEAF_CHECK(batch::decodeReport(batch::encode(value)));
        return {};
    });
}

void decodeDirective(const std::string &input)
{
    decodePayload(batch::PayloadKind::Directive, input, [](const std::string &bytes) -> Result<void> {
        BOOST_LEAF_AUTO(value, batch::decodeDirective(bytes));
        BOOST_LEAF_CHECK(batch::decodeDirective(batch::encode(value)));
        return {};
    });
}

void decodeForwardedCall(const std::string &input)
{
    decodePayload(batch::PayloadKind::ForwardedCall, input, [](const std::string &bytes) -> Result<void> {
        BOOST_LEAF_AUTO(call, node::decodeCall(bytes));
        if (call.method_ > platform::CallMethod::Cancel) {
            std::abort();
        }
        return {};
    });
}

void decodeForwardedAnswer(const std::string &input)
{
    decodePayload(batch::PayloadKind::ForwardedAnswer, input, [](const std::string &bytes) -> Result<void> {
        BOOST_LEAF_AUTO(answer, node::decodeAnswer(bytes));
        (void)answer;
        return {};
    });
}

/// The first byte selects the kind of message.
void decodeWireMessage(const std::string &input)
{
    expectOnly<WireError>([&]() -> Result<void> {
        BOOST_LEAF_CHECK(decodeMessage(input));
        return {};
    });
    if (input.empty()) {
        return;
    }
    expectOnly<WireError>([&]() -> Result<void> {
        const std::string body = input.substr(1);
        const auto kind = static_cast<std::uint8_t>(static_cast<std::uint8_t>(input.front()) % std::variant_size_v<Message>);
        const std::uint64_t sum = XXH64(body.data(), body.size(), kind);
        std::string bytes{'b', 'g', 'm', 'w', 1, static_cast<char>(kind)};
        bytes.append(reinterpret_cast<const char *>(&sum), sizeof(sum));
        BOOST_LEAF_AUTO(message, decodeMessage(bytes + body));
        BOOST_LEAF_CHECK(decodeMessage(encodeMessage(message)));
        return {};
    });
}

void readConfigYaml(const std::string &input)
{
    expectOnly<ConfigError>([&]() -> Result<void> {
        SettingsTree tree;
        BOOST_LEAF_CHECK(tree.merge("a.yaml", input));
        BOOST_LEAF_CHECK(tree.merge("b.yaml", input));
        BOOST_LEAF_CHECK(Config::fromTree(tree));
        return {};
    });
}

void readDaemonSettings(const std::string &input)
{
    expectOnly<ConfigError>([&]() -> Result<void> {
        BOOST_LEAF_CHECK(Settings::parse("s.yaml", input));
        return {};
    });
}

void readDocuments(const std::string &input)
{
    const auto decode = [&](auto decoder) {
        expectOnly<DocumentError, ConfigError>([&]() -> Result<void> {
            BOOST_LEAF_CHECK(decoder(input));
            return {};
        });
    };
    decode(decodeShard);
    decode(decodeJobSpec);
    decode(ControlTraits::decode);
    decode(ClaimTraits::decode);
    decode(SettingsTree::fromJson);
}

void readGatewayReplies(const std::string &input)
{
    const std::array<StoreCall, 6> calls{ReadKey{1, "k"},
                                         CompareAndSwap{1, "k", 0, "v", 0},
                                         GrantLease{1, 10s},
                                         RenewLease{1, 7},
                                         RevokeLease{1, 7},
                                         PollKeys{1, {{"k", false, 0}, {"p/", true, 0}}}};
    for (const StoreCall &call : calls) {
        expectOnly<StoreError>([&]() -> Result<void> {
            BOOST_LEAF_CHECK(decodeGatewayReply(call, input));
            return {};
        });
    }
}

void readLog(const std::string &input)
{
    report::LatenessReport lateness;
    std::istringstream lines(input);
    for (std::string line; std::getline(lines, line);) {
        lateness.addLine(line);
    }
    (void)lateness.lateJobs();
}

constexpr std::array decoders{
    Decoder{"submission", decodeSubmission},
    Decoder{"progress", decodeProgress},
    Decoder{"folded-progress", decodeFoldedProgress},
    Decoder{"crash-history", decodeCrashHistory},
    Decoder{"accepted-settings", decodeAcceptedSettings},
    Decoder{"start-record", decodeStartRecord},
    Decoder{"fleet-profile", decodeFleetProfile},
    Decoder{"report", decodeReport},
    Decoder{"directive", decodeDirective},
    Decoder{"forwarded-call", decodeForwardedCall},
    Decoder{"forwarded-answer", decodeForwardedAnswer},
    Decoder{"wire-message", decodeWireMessage},
    Decoder{"config-yaml", readConfigYaml},
    Decoder{"daemon-settings", readDaemonSettings},
    Decoder{"documents", readDocuments},
    Decoder{"gateway-reply", readGatewayReplies},
    Decoder{"log", readLog},
};

}

std::span<const Decoder> productDecoders()
{
    return decoders;
}

}
