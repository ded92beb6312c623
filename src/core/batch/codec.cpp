#include "core/batch/codec.h"

#include "core/batch/framing.h"

#include <algorithm>

namespace bergamotwick::batch {

namespace {

/// Returns whether all enumerators in \p report are known. A later release may send others.
bool hasKnownEnumerators(const Report &report)
{
    return std::all_of(report.ended_.begin(), report.ended_.end(), [](const EndedRun &end) { return end.kind_ <= EndKind::GangIncomplete; })
        && std::all_of(report.settled_.begin(), report.settled_.end(), [](const SettledOrder &order) { return order.outcome_ <= OrderOutcome::StopConfirmed; });
}

Result<Progress> decodeFoldedProgress(std::string_view bytes)
{
    BOOST_LEAF_AUTO(folded, (decodeAs<PayloadKind::FoldedProgress, FoldedProgress>(bytes)));
    auto progress = unfold(folded);
    if (!progress) {
        return leaf::new_error(WireError{WireErrc::Corrupt});
    }
    return std::move(*progress);
}

}

std::string encode(const Submission &value)
{
    return encodeAs<PayloadKind::Submission>(value);
}

std::string encodeLong(const Submission &value)
{
    return encodeAs<PayloadKind::LongSubmission>(value);
}

std::string encode(const FoldedProgress &value)
{
    return encodeAs<PayloadKind::FoldedProgress>(value);
}

std::string encode(const Progress &value)
{
    return encodeAs<PayloadKind::Progress>(value);
}

std::string encode(const CrashHistory &value)
{
    return encodeAs<PayloadKind::CrashHistory>(value);
}

std::string encode(const StartRecord &value)
{
    return encodeAs<PayloadKind::StartRecord>(value);
}

std::string encode(const AcceptedSettings &value)
{
    return encodeAs<PayloadKind::AcceptedSettings>(value);
}

std::string encode(const FleetProfile &value)
{
    return encodeAs<PayloadKind::FleetProfile>(value);
}

std::string encode(const Report &value)
{
    return encodeAs<PayloadKind::Report>(value);
}

std::string encode(const Directive &value)
{
    return encodeAs<PayloadKind::Directive>(value);
}

Result<Submission> decodeSubmission(std::string_view bytes)
{
    return isOfKind(bytes, PayloadKind::LongSubmission) ? decodeAs<PayloadKind::LongSubmission, Submission>(bytes)
                                                        : decodeAs<PayloadKind::Submission, Submission>(bytes);
}

Result<Progress> decodeProgress(std::string_view bytes)
{
    BOOST_LEAF_AUTO(progress, (isOfKind(bytes, PayloadKind::FoldedProgress) ? decodeFoldedProgress(bytes) : decodeAs<PayloadKind::Progress, Progress>(bytes)));
    if (progress.state_ > JobState::Cancelled) {
        return leaf::new_error(WireError{WireErrc::Corrupt});
    }
    return progress;
}

Result<CrashHistory> decodeCrashHistory(std::string_view bytes)
{
    return decodeAs<PayloadKind::CrashHistory, CrashHistory>(bytes);
}

Result<StartRecord> decodeStartRecord(std::string_view bytes)
{
    return decodeAs<PayloadKind::StartRecord, StartRecord>(bytes);
}

Result<AcceptedSettings> decodeAcceptedSettings(std::string_view bytes)
{
    return decodeAs<PayloadKind::AcceptedSettings, AcceptedSettings>(bytes);
}

Result<FleetProfile> decodeFleetProfile(std::string_view bytes)
{
    return decodeAs<PayloadKind::FleetProfile, FleetProfile>(bytes);
}

Result<Report> decodeReport(std::string_view bytes)
{
    BOOST_LEAF_AUTO(report, (decodeAs<PayloadKind::Report, Report>(bytes)));
    if (!hasKnownEnumerators(report)) {
        return leaf::new_error(WireError{WireErrc::Corrupt});
    }
    return report;
}

Result<Directive> decodeDirective(std::string_view bytes)
{
    return decodeAs<PayloadKind::Directive, Directive>(bytes);
}

}
