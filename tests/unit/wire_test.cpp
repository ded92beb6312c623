#include "support/expect.h"
#include "wire/codec.h"

#include <random>

namespace bergamotwick::test {

namespace {

AgentReport sampleReport()
{
    AgentReport report;
    report.name_ = "worker-1";
    report.incarnation_ = 7;
    report.sequence_ = 3;
    report.sentAt_ = Instant(5s);
    report.capacity_ = {60, 130'000, 8};
    report.members_ = {{JobId("job"), 2, 4, MemberPhase::Prepared}};
    report.digest_ = membersDigest(report.members_);
    return report;
}

std::vector<Message> sampleMessages()
{
    Directive directive;
    directive.entry_ = EntryId("entry-1");
    directive.agent_ = "worker-1";
    directive.orders_ = {{JobId("job"), 2, 4, {1, 2, 3}, MemberAction::Run, "payload"}};
    directive.lease_ = 10s;
    AttemptRequest attempt;
    attempt.id_ = {1, 2, 3};
    attempt.body_ = std::string("\0\xff binary", 9);
    AttemptReply reply;
    reply.id_ = {1, 2, 3};
    reply.outcome_ = AttemptOutcome::Answered;
    reply.status_ = 200;
    return {sampleReport(), directive, attempt, reply};
}

WireErrc decodeError(const std::string &bytes)
{
    return errorOf<WireError>([&] { return decodeMessage(bytes); }).code_;
}

}

class WireTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WireTest);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(decodingReportsErrorCode);
    CPPUNIT_TEST(invalidValuesAreRejected);
    CPPUNIT_TEST(corruptedBytesAreRejected);
    CPPUNIT_TEST_SUITE_END();

    void messagesRoundTrip()
    {
        for (const Message &message : sampleMessages()) {
            const std::string bytes = encodeMessage(message);
            const Message decoded = value(decodeMessage(bytes));
            CPPUNIT_ASSERT_EQUAL(message.index(), decoded.index());
            CPPUNIT_ASSERT_EQUAL(bytes, encodeMessage(decoded));
        }
    }

    void decodingReportsErrorCode()
    {
        const std::string valid = encodeMessage(sampleReport());
        CPPUNIT_ASSERT(decodeError("") == WireErrc::Truncated);
        CPPUNIT_ASSERT(decodeError(valid.substr(0, 9)) == WireErrc::Truncated);
        CPPUNIT_ASSERT(decodeError(valid.substr(0, valid.size() - 1)) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(decodeError(std::string(maxFrameBytes + 1, 'x')) == WireErrc::Oversized);
        std::string changed = valid;
        changed[4] = 9;
        CPPUNIT_ASSERT(decodeError(changed) == WireErrc::WrongVersion);
        changed = valid;
        changed[5] = 200;
        CPPUNIT_ASSERT(decodeError(changed) == WireErrc::Corrupt);
    }

    void invalidValuesAreRejected()
    {
        const auto errorAfter = [](auto change) {
            AgentReport report = sampleReport();
            change(report);
            return decodeError(encodeMessage(report));
        };
        CPPUNIT_ASSERT(errorAfter([](AgentReport &report) { report.name_.clear(); }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(errorAfter([](AgentReport &report) { report.name_ = "\xff"; }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(errorAfter([](AgentReport &report) { report.capacity_.cores_ = -1; }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(errorAfter([](AgentReport &report) { report.members_[0].tasks_ = -4; }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(errorAfter([](AgentReport &report) { report.members_[0].phase_ = static_cast<MemberPhase>(99); }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(errorAfter([](AgentReport &report) { report.digest_ = 1; }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(errorAfter([](AgentReport &report) { report.sentAt_ = Instant(Duration(-1)); }) == WireErrc::Corrupt);
        CPPUNIT_ASSERT(errorAfter([](AgentReport &report) { report.sentAt_ = Instant(Duration::max()); }) == WireErrc::Corrupt);
    }

    void corruptedBytesAreRejected()
    {
        std::mt19937_64 random(11);
        for (const Message &message : sampleMessages()) {
            const std::string valid = encodeMessage(message);
            for (int i = 0; i < 3'000; ++i) {
                std::string bytes = valid;
                bytes[random() % bytes.size()] ^= static_cast<char>(1 + random() % 255);
                bytes.resize(bytes.size() - (i % 3 == 0 ? random() % bytes.size() : 0));
                (void)decodeError(bytes);
            }
        }
        for (int i = 0; i < 3'000; ++i) {
            std::string randomBytes(random() % 200, '\0');
            for (char &byte : randomBytes) {
                byte = static_cast<char>(random());
            }
            (void)decodeError(randomBytes);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireTest);

}
