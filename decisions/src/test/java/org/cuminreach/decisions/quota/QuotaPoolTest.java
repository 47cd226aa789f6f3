package org.cuminreach.decisions.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;

final class QuotaPoolTest {
    private static final long VALID = QuotaLimit.GRANT_VALID_MILLIS;
    private final QuotaPool<String> pool = QuotaPool.create();

    private static QuotaAnswer granted(int calls) {
        return new QuotaAnswer("t", calls, 0, 7, VALID, 0);
    }

    @Example
    void callsShareOneQuestionAndPassInOrder() {
        pool.offer("t", "a", 100, 0);
        pool.offer("t", "b", 100, 0);
        QuotaPool.Question question = pool.nextQuestion(0).orElseThrow();

        assertThat(question.demands()).containsExactly(new QuotaDemand("t", 2, 0, 0));
        assertThat(pool.nextQuestion(1)).isEqualTo(Optional.empty());
        List<QuotaPool.Decided<String>> decided = pool.answer(question.number(), granted(1), 5);
        assertThat(decided).hasSize(1);
        assertThat(decided.get(0).call()).isEqualTo("a");
    }

    @Example
    void anAnswerAfterItsValidityLetsNothingPass() {
        pool.offer("t", "a", 10_000, 0);
        long question = pool.nextQuestion(0).orElseThrow().number();

        assertThat(pool.answer(question, granted(1), VALID + 1)).isEmpty();
    }

    @Example
    void callsAreRefusedHereForShortTimeAfterRefusal() {
        pool.offer("t", "a", 100, 0);
        long question = pool.nextQuestion(0).orElseThrow().number();
        pool.answer(question, new QuotaAnswer("t", 0, 1, 7, 0, 900), 5);

        assertThat(pool.offer("t", "b", 100, 50)).isEqualTo(new QuotaOutcome.OverQuota(900));
        assertThat(pool.offer("t", "c", 100, 106)).isInstanceOf(QuotaOutcome.Waits.class);
    }

    @Example
    void callsWithoutAnAnswerAreRefused() {
        pool.offer("t", "a", 100, 0);
        pool.nextQuestion(0);

        List<QuotaPool.Decided<String>> expired = pool.expire(101);
        assertThat(expired.get(0).outcome()).isInstanceOf(QuotaOutcome.NoGrant.class);
    }

    @Example
    void tokenOfCallThatHasNotRunGoesBackToItsControlOnly() {
        QuotaToken token = new QuotaToken("t", 7, VALID, 0);
        pool.giveBack(token, 10);
        assertThat(pool.nextQuestion(11).orElseThrow().demands())
                .containsExactly(new QuotaDemand("t", 0, 1, 7));

        pool.startSession();
        pool.giveBack(token, 12);
        assertThat(pool.nextQuestion(13)).isEqualTo(Optional.empty());
    }
}
